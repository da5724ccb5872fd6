#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/OrderedMutex.h>
#include <LibKernel/Asio.h>

#include <memory>
#include <string>

#include <boost/asio/ssl/context.hpp>

namespace Ibisturn {

using TlsContextPointer = std::shared_ptr<Asio::ssl::context>;

/// A listener's certificate and key, read anew when the files change. Connections keep the one that they
/// began with, so a change drops no caller.
/// Thread safety: all methods from any thread.
class TlsIdentity {
public:
    /// Reads the files. Throws Error with SettingsInvalid if they do not fit together.
    explicit TlsIdentity(TlsSettings settings);

    /// The context for new connections. Precondition: the lock order permits LockLevel::Connections.
    TlsContextPointer context() const;

    /// Reads the files again if their content changed. A pair that is not valid, such as one that is
    /// half written, leaves the present one in force. Precondition: as for context().
    void reloadIfChanged();

private:
    TlsSettings settings_;
    mutable OrderedMutex lock_ { LockLevel::Connections };
    TlsContextPointer context_;
    std::string loadedDigest_;
};

} // namespace Ibisturn
