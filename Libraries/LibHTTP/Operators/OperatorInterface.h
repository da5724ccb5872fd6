#pragma once

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
    /// The revision that the operator saw, from the If-Match header; empty if it did not come.
    std::string ifMatch;
    /// Names the change, from the Idempotency-Key header; empty if it did not come.
    std::string changeId;
    std::string body;
};

struct OperatorReply {
    unsigned status { 200 };
    std::string contentType { "application/json" };
    std::string body;
};

/// Answers operators: metrics, status, records, log level.
/// Thread safety: the first worker.
class OperatorInterface {
public:
    /// Precondition: `tables`, `store` and `feed` outlive the interface.
    OperatorInterface(InstanceTables& tables, StoreClient& store, ConfigurationFeed& feed);

    /// Answers one request; failures become error answers.
    Task<OperatorReply> handle(OperatorRequest request);

private:
    struct Endpoint {
        std::string_view method;
        std::string_view pathPrefix;
        Task<OperatorReply> (OperatorInterface::*handle)(OperatorRequest);
    };
    static const std::vector<Endpoint>& endpoints();

    Task<OperatorReply> dispatch(OperatorRequest request);
    Task<OperatorReply> showMetrics(OperatorRequest request);
    Task<OperatorReply> showHealth(OperatorRequest request);
    Task<OperatorReply> showStatus(OperatorRequest request);
    Task<OperatorReply> listRecords(OperatorRequest request);
    Task<OperatorReply> putRecord(OperatorRequest request);
    Task<OperatorReply> withdrawRecord(OperatorRequest request);
    Task<OperatorReply> writeChanges(OperatorRequest request);
    Task<OperatorReply> showHistory(OperatorRequest request);
    Task<OperatorReply> changeLogLevel(OperatorRequest request);
    Task<OperatorReply> write(ChangeRequest change);
    void withdrawAtOnce(ChangeRequest& change);
    ChangeRequest makeChange(const OperatorRequest& request) const;
    OperatorReply showResult(const std::string& changeId, const ChangeResult& result) const;
    /// The name of the credential that the request came with.
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
