#include <LibHTTP/Callers/CallerCredentials.h>

#include <LibCore/Digest.h>
#include <LibCore/UriQuery.h>

#include <cctype>

namespace Ibisturn {

namespace {

constexpr std::string_view bearer = "Bearer ";

bool isKeyParameter(std::string_view name)
{
    auto decoded = decodePercent(name);
    for (auto& character : decoded)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return decoded == "key" || decoded == "api_key";
}

bool isBearer(std::string_view authorization)
{
    if (authorization.size() <= bearer.size())
        return false;
    for (std::size_t index = 0; index < bearer.size(); ++index) {
        if (std::tolower(static_cast<unsigned char>(authorization[index])) != std::tolower(static_cast<unsigned char>(bearer[index])))
            return false;
    }
    return true;
}

} // namespace

CallerCredentials extractCredentials(std::string_view authorization, std::string_view apiKey, std::string_view target)
{
    CallerCredentials credentials;
    const auto queryStart = target.find('?');
    credentials.target = target.substr(0, queryStart);
    std::string keyInQuery;
    char separator = '?';
    auto rest = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    while (!rest.empty()) {
        const auto parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
        const auto equals = parameter.find('=');
        if (isKeyParameter(parameter.substr(0, equals))) {
            // An empty parameter does not override a key given in another one.
            if (equals != std::string_view::npos && equals + 1 < parameter.size())
                keyInQuery = decodePercent(parameter.substr(equals + 1));
            continue;
        }
        credentials.target += separator;
        credentials.target += parameter;
        separator = '&';
    }
    if (isBearer(authorization))
        credentials.key = digestOfKey(authorization.substr(bearer.size()));
    else if (!apiKey.empty())
        credentials.key = digestOfKey(apiKey);
    else if (!keyInQuery.empty())
        credentials.key = digestOfKey(keyInQuery);
    return credentials;
}

} // namespace Ibisturn
