#pragma once

#include <LibCore/Identifier.h>

#include <optional>
#include <string>

namespace Ibisturn {

/// What is known of a request before its body is read. Holds only the digest of the key, never the key itself.
struct RequestHead {
    std::string path;
    std::optional<KeyDigest> key;
};

} // namespace Ibisturn
