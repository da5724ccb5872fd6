#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/OrderedMutex.h>
#include <LibKernel/Asio.h>

#include <memory>
#include <string>

#include <boost/asio/ssl/context.hpp>

namespace Ibisturn {

using TlsContextPointer = std::shared_ptr<Asio::ssl::context>;

/// A listener's certificate and key, reloaded when the files change. Established connections keep the certificate that
/// they were opened with, so a reload disconnects no caller.
/// Thread safety: all methods from any thread.
class TlsIdentity {
public:
    /// Reads the files. Throws Error with SettingsInvalid if the certificate or the key is invalid, or they don't match.
    explicit TlsIdentity(TlsSettings settings);

    /// The context for new connections. Precondition: the lock order permits LockLevel::Connections.
    TlsContextPointer context() const;

    /// Loads the files again if their content changed. If the new pair is invalid, such as one that is partly
    /// written, the current pair stays in use. Precondition: as for context().
    void reloadIfChanged();

private:
    TlsSettings settings_;
    mutable OrderedMutex lock_ { LockLevel::Connections };
    TlsContextPointer context_;
    std::string loadedDigest_;
};

} // namespace Ibisturn
