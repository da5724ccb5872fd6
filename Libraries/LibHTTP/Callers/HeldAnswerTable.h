#pragma once

#include <LibCore/Metrics.h>
#include <LibDecision/Admission/HeldAnswers.h>

#include <functional>
#include <map>
#include <memory>

namespace Ibisturn {

/// The answers of one worker that are held for slow callers, with a way to give them up. Thread safety: one worker.
class HeldAnswerTable {
    struct State {
        HeldAnswers answers;
        std::map<HeldAnswerId, std::function<void()>> giveUp;
    };

public:
    /// Precondition: `metrics` outlives the table.
    explicit HeldAnswerTable(Metrics& metrics)
        : metrics_(metrics)
    {
    }

    /// Registers an answer as held for the lifetime of this object.
    class Scope {
    public:
        /// `giveUp` releases the memory of the answer and closes the connection of its caller; it is called at most once.
        Scope(HeldAnswerTable& table, std::function<void()> giveUp);
        ~Scope();
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

        /// Records that the caller took a part of the answer.
        void recordProgress();

    private:
        std::shared_ptr<State> state_;
        HeldAnswerId id_;
    };

    /// Gives up the answer that has been held longest without progress; false if all of them make progress.
    bool giveUpLongestStalled();

    /// Publishes the number of held answers. Must be called about once a second.
    void report(TimePoint now);

private:
    Metrics& metrics_;
    // Shared with the scopes: an event loop destroys its suspended coroutines after the other members of the worker.
    std::shared_ptr<State> state_ { std::make_shared<State>() };
};

} // namespace Ibisturn
