#include <LibDecision/Streams/StreamBinding.h>

#include <utility>

namespace Ibisturn {

StreamBinding StreamBinding::forNewStream()
{
    StreamBinding binding;
    binding.isStream_ = true;
    return binding;
}

StreamBinding StreamBinding::forVersion(SoftwareVersion version)
{
    auto binding = forNewStream();
    binding.required_ = std::move(version);
    return binding;
}

StreamAnswer StreamBinding::onAnswerBegan(const SoftwareVersion& version)
{
    answering_ = version;
    if (!isStream_)
        return StreamAnswer::Resumable;
    if (required_ ? version != *required_ : hasRelayedEvent_)
        return StreamAnswer::Rejected;
    return version.isEmpty() ? StreamAnswer::NotResumable : StreamAnswer::Resumable;
}

bool StreamBinding::onEventRelayed()
{
    if (!isStream_ || std::exchange(hasRelayedEvent_, true))
        return false;
    if (!required_ && !answering_.isEmpty())
        required_ = answering_;
    return true;
}

} // namespace Ibisturn
