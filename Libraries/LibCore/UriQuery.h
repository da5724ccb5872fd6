#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Encodes `text` as a value in the query of a URI (RFC 3986): all bytes but letters, digits and `-._~/`. Thread safety: any thread.
std::string encodeQueryValue(std::string_view text);

/// A name and a value in a query. The name is one that needs no encoding.
struct QueryParameter {
    std::string_view name;
    std::string value;
};

/// The target of a request: `path` and a query with the encoded values of `parameters`. Thread safety: any thread.
std::string makeTarget(std::string_view path, std::initializer_list<QueryParameter> parameters);

/// Decodes escaped bytes; a percent sign that begins none stands for itself. Thread safety: any thread.
std::string decodePercent(std::string_view text);

} // namespace Ibisturn
