#pragma once

#include <LibHTTP/Operators/ShortRequests.h>
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
    Task<ShortReply> handle(OperatorRequest request);

private:
    struct Endpoint {
        std::string_view method;
        std::string_view pathPrefix;
        Task<ShortReply> (OperatorInterface::*handle)(OperatorRequest);
    };
    static const std::vector<Endpoint>& endpoints();

    Task<ShortReply> dispatch(OperatorRequest request);
    Task<ShortReply> showMetrics(OperatorRequest request);
    Task<ShortReply> showHealth(OperatorRequest request);
    Task<ShortReply> showStatus(OperatorRequest request);
    Task<ShortReply> listRecords(OperatorRequest request);
    Task<ShortReply> putRecord(OperatorRequest request);
    Task<ShortReply> withdrawRecord(OperatorRequest request);
    Task<ShortReply> writeChanges(OperatorRequest request);
    Task<ShortReply> showHistory(OperatorRequest request);
    Task<ShortReply> changeLogLevel(OperatorRequest request);
    Task<ShortReply> write(ChangeRequest change);
    void withdrawAtOnce(ChangeRequest& change);
    ChangeRequest makeChange(const OperatorRequest& request) const;
    ShortReply showResult(const std::string& changeId, const ChangeResult& result) const;
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
