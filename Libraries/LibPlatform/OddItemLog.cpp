#include <LibPlatform/OddItemLog.h>

#include <LibCore/Log.h>

namespace Ibisturn {

namespace {

constexpr Log itemLog("store");
/// More than the length of any key of the platform's store.
constexpr std::size_t maxNameLength = 256;

} // namespace

bool OddItemLog::report(TimePoint now, std::string_view name, std::string_view reason)
{
    ++count_;
    if (now - periodStart_ >= period) {
        periodStart_ = now;
        logged_.clear();
    }
    name = name.substr(0, maxNameLength);
    if (logged_.size() >= linesPerPeriod || logged_.contains(name)) {
        ++omitted_;
        return false;
    }
    logged_.emplace(name);
    itemLog.warning("Odd item is not used.", { { "kind", kind_ }, { "name", name }, { "reason", reason.substr(0, maxNameLength) }, { "omitted", omitted_ }, { "in_all", count_ } });
    return true;
}

} // namespace Ibisturn
