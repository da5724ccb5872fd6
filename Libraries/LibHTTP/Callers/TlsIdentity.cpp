#include <LibHTTP/Callers/TlsIdentity.h>

#include <LibCore/Digest.h>
#include <LibCore/Error.h>
#include <LibCore/Log.h>

#include <fstream>
#include <mutex>
#include <sstream>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log tlsLog("tls");

/// The content of the two files, read once so that the digest is computed from the same bytes that are loaded.
struct IdentityFiles {
    std::string certificate;
    std::string privateKey;

    std::string digest() const { return digestOfContent(certificate + privateKey); }
};

std::string readFile(const std::string& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

IdentityFiles readFiles(const TlsSettings& settings)
{
    return { readFile(settings.certificate), readFile(settings.privateKey) };
}

TlsContextPointer makeContext(const IdentityFiles& files)
{
    auto context = std::make_shared<Asio::ssl::context>(Asio::ssl::context::tls_server);
    context->set_options(Asio::ssl::context::default_workarounds | Asio::ssl::context::no_tlsv1 | Asio::ssl::context::no_tlsv1_1);
    context->use_certificate_chain(Asio::buffer(files.certificate));
    // Throws if the key does not match the certificate.
    context->use_private_key(Asio::buffer(files.privateKey), Asio::ssl::context::pem);
    return context;
}

} // namespace

TlsIdentity::TlsIdentity(TlsSettings settings)
    : settings_(std::move(settings))
{
    const auto files = readFiles(settings_);
    try {
        context_ = makeContext(files);
    } catch (const boost::system::system_error& error) {
        throw Error(ResultCode::SettingsInvalid, Ran::No, settings_.certificate + ": the certificate or its key is not valid: " + error.what());
    }
    loadedDigest_ = files.digest();
}

TlsContextPointer TlsIdentity::context() const
{
    const std::scoped_lock lock(lock_);
    return context_;
}

void TlsIdentity::reloadIfChanged()
{
    const auto files = readFiles(settings_);
    auto digest = files.digest();
    const std::scoped_lock lock(lock_);
    if (digest == loadedDigest_)
        return;
    try {
        context_ = makeContext(files);
        loadedDigest_ = std::move(digest);
        tlsLog.info("Certificate in force.", { { "file", settings_.certificate } });
    } catch (const boost::system::system_error& error) {
        tlsLog.warning("Certificate not valid; the former stays.", { { "file", settings_.certificate }, { "reason", error.what() } });
    }
}

} // namespace Ibisturn
