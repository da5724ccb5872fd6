#include <LibKernel/Asio.h>

#include <LibKernel/WorkerPool.h>

#include <stdexcept>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

TEST(WorkerPool, GoesOnAfterAnExceptionThatLeavesAHandler)
{
    WorkerPool workers(1);
    bool wentOn = false;
    Asio::post(workers.context(0), [] { throw std::runtime_error("a handler failed"); });
    Asio::post(workers.context(0), [&] {
        wentOn = true;
        workers.stop();
    });
    EXPECT_NO_THROW(workers.run());
    EXPECT_TRUE(wentOn);
}

} // namespace Ibisturn::Testing
