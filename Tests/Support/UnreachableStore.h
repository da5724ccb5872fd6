#pragma once

#include <LibCore/Error.h>
#include <LibPlatform/StoreClient.h>

namespace Ibisturn::Testing {

/// A store client whose every operation fails with StoreUnavailable. Thread safety: any thread.
class UnreachableStore final : public StoreClient {
public:
    Task<StoreRange> range(std::string /*prefix*/) override { return fail<StoreRange>(); }
    Task<StoreWriteResult> transact(std::vector<StoreWrite> /*writes*/) override { return fail<StoreWriteResult>(); }
    Task<LeaseId> grantLease(Duration /*timeToLive*/) override { return fail<LeaseId>(); }
    Task<void> renewLease(LeaseId /*lease*/) override { return fail<void>(); }
    Task<void> endLease(LeaseId /*lease*/) override { return fail<void>(); }
    Task<void> watch(std::string /*prefix*/, Revision /*after*/, Duration /*confirmationPeriod*/, std::function<void(StoreChanges)> /*onChanges*/) override { return fail<void>(); }

private:
    template <typename Result>
    static Task<Result> fail()
    {
        throw Error(ResultCode::StoreUnavailable, Ran::No, "The store is unavailable");
        co_return Result();
    }
};

} // namespace Ibisturn::Testing
