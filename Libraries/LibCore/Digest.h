#pragma once

#include <LibCore/Identifier.h>

#include <string>
#include <string_view>

namespace Ibisturn {

/// The SHA-256 digest of a caller's or operator's key, as 64 lower-case hexadecimal digits.
/// The timing of a digest lookup reveals nothing about the key, since a caller cannot choose the bits of a digest.
/// Thread safety: any thread.
KeyDigest digestOfKey(std::string_view key);

/// The SHA-256 digest of `content`, in hexadecimal. Thread safety: any thread.
std::string digestOfContent(std::string_view content);

/// Whether `text` has the form of a digest: 64 lower-case hexadecimal digits. Thread safety: any thread.
bool isDigest(std::string_view text);

/// Compares in constant time for given lengths. Thread safety: any thread.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace Ibisturn
