#pragma once

#include <LibHTTP/Operators/BufferedRequests.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibPlatform/ConfigurationFeed.h>
#include <LibPlatform/RecordWriter.h>
#include <LibPlatform/StoreClient.h>

#include <string>

namespace Ibisturn {

struct OperatorRequest {
    std::string method;
    std::string target;
    /// The value of the Authorization header.
    std::string authorization;
    /// The revision that the operator last read, from the If-Match header; empty if the header is missing.
    std::string ifMatch;
    /// Identifies the change, from the Idempotency-Key header; empty if the header is missing.
    std::string changeId;
    std::string body;
};

/// The HTTP interface for operators: metrics, status, records, history, log level.
/// Thread safety: the first worker.
class OperatorInterface {
public:
    /// Precondition: `tables`, `store` and `feed` outlive the interface.
    OperatorInterface(InstanceTables& tables, StoreClient& store, ConfigurationFeed& feed);

    /// Answers one request. Errors are returned as error answers.
    Task<BufferedReply> handle(OperatorRequest request);

private:
    struct Endpoint {
        std::string_view method;
        std::string_view pathPrefix;
        Task<BufferedReply> (OperatorInterface::*handle)(OperatorRequest);
    };
    static const std::vector<Endpoint>& endpoints();

    Task<BufferedReply> dispatch(OperatorRequest request);
    Task<BufferedReply> showMetrics(OperatorRequest request);
    Task<BufferedReply> showHealth(OperatorRequest request);
    Task<BufferedReply> showStatus(OperatorRequest request);
    Task<BufferedReply> listRecords(OperatorRequest request);
    Task<BufferedReply> putRecord(OperatorRequest request);
    Task<BufferedReply> withdrawRecord(OperatorRequest request);
    Task<BufferedReply> writeChanges(OperatorRequest request);
    Task<BufferedReply> showHistory(OperatorRequest request);
    Task<BufferedReply> changeLogLevel(OperatorRequest request);
    Task<BufferedReply> write(ChangeRequest change);
    void withdrawImmediately(ChangeRequest& change);
    ChangeRequest makeChange(const OperatorRequest& request) const;
    BufferedReply showResult(const std::string& changeId, const ChangeResult& result) const;
    /// Returns the name of the credential in the request. Throws Error with OperatorRefused if it is missing or unknown.
    std::string requireOperator(const OperatorRequest& request) const;

    InstanceTables& tables_;
    StoreClient& store_;
    ConfigurationFeed& feed_;
    RecordWriter writer_;
};

/// Serves one operator's connection until it closes.
/// Precondition: `interface` outlives the coroutine. Thread safety: the first worker.
Task<void> serveOperator(Asio::ip::tcp::socket socket, OperatorInterface& interface);

} // namespace Ibisturn
