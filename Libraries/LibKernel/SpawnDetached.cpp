#include <LibKernel/SpawnDetached.h>

#include <LibCore/Log.h>

namespace Ibisturn {

namespace {

constexpr Log taskLog("task");

} // namespace

void logTaskFailure(std::string_view name, const std::exception_ptr& failure)
{
    try {
        if (failure)
            std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        taskLog.error("A task failed.", { { "task", name }, { "reason", error.what() } });
    }
}

} // namespace Ibisturn
