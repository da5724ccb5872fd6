#include <LibKernel/HeldSignals.h>

#include <csignal>
#include <initializer_list>

namespace Ibisturn {

namespace {

void setMask(int how)
{
    sigset_t signals;
    ::sigemptyset(&signals);
    for (const int signal : { SIGHUP, SIGINT, SIGTERM })
        ::sigaddset(&signals, signal);
    // Fails only if `how` is not valid.
    static_cast<void>(::pthread_sigmask(how, &signals, nullptr));
}

} // namespace

HeldSignals::HeldSignals()
{
    setMask(SIG_BLOCK);
}

HeldSignals::~HeldSignals()
{
    release();
}

// NOLINTNEXTLINE(readability-convert-member-functions-to-static): the mask belongs to the process, and the object is its owner
void HeldSignals::release()
{
    setMask(SIG_UNBLOCK);
}

} // namespace Ibisturn
