#pragma once

#include <LibDecision/Requests/RequestEvent.h>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace Ibisturn {

/// Cancels a request from outside the coroutine that runs it, by closing the connection on which it waits.
/// Thread safety: the worker of the request.
class Cancellation {
public:
    /// Cancels the request with `reason`. Only the first call has an effect.
    void cancel(const RequestEvent& reason)
    {
        if (reason_)
            return;
        reason_ = reason;
        if (close_)
            close_();
    }

    /// Why the request was cancelled, if it was.
    const std::optional<RequestEvent>& reason() const { return reason_; }

    /// Registers `close` to be called on cancellation, for the lifetime of the scope.
    class Scope {
    public:
        /// Precondition: the cancellation has no other scope, and `close` stays callable for the lifetime of this one.
        Scope(std::shared_ptr<Cancellation> cancellation, std::function<void()> close)
            : cancellation_(std::move(cancellation))
        {
            if (cancellation_)
                cancellation_->close_ = std::move(close);
        }

        ~Scope()
        {
            if (cancellation_)
                cancellation_->close_ = nullptr;
        }

        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        std::shared_ptr<Cancellation> cancellation_;
    };

private:
    std::optional<RequestEvent> reason_;
    std::function<void()> close_;
};

using CancellationPointer = std::shared_ptr<Cancellation>;

} // namespace Ibisturn
