#pragma once

#include <LibDecision/Dissemination/StatusMessages.h>

#include <map>
#include <vector>

namespace Ibisturn {

/// The large answers that were sent to requests for the store's changes a moment ago. Such an answer takes a while over a slow link, and a
/// request that is repeated meanwhile must not be answered with all of it again.
/// Thread safety: one thread at a time.
class LargeAnswers {
public:
    /// The size of the changes from which an answer is large.
    static constexpr std::size_t minBytes = 64UL * 1024;
    /// How long a request counts as repeated.
    static constexpr Duration repetitionTime = std::chrono::milliseconds(1000);

    /// A request of `peer` for the changes after `positions` is answered with `answer`.
    void onAnswer(TimePoint now, const InstanceId& peer, std::vector<Revision> positions, const StoreUpdate& answer);

    /// Whether `peer` requests the changes after `positions` again although it was sent a large answer with them.
    bool isRepeated(TimePoint now, const InstanceId& peer, const std::vector<Revision>& positions);

private:
    struct Answer {
        TimePoint sentAt;
        /// Those of the request.
        std::vector<Revision> positions;
    };

    std::map<InstanceId, Answer> answers_;
};

} // namespace Ibisturn
