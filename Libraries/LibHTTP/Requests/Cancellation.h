#pragma once

#include <LibDecision/Requests/RequestEvent.h>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace Ibisturn {

/// Ends a request from outside the coroutine that runs it, by closing the connection that it waits on.
/// Thread safety: the worker of the request.
class Cancellation {
public:
    /// Cancels for the first reason that comes; later ones are ignored.
    void cancel(const RequestEvent& reason)
    {
        if (reason_)
            return;
        reason_ = reason;
        if (close_)
            close_();
    }

    /// Why the request was cancelled, or nothing.
    const std::optional<RequestEvent>& reason() const { return reason_; }

    /// While it lives, cancelling calls `close`.
    class Scope {
    public:
        /// Precondition: no other scope lives, and `close` may be called while this one does.
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
