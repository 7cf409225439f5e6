// Guards against a process that ends with a segmentation fault because a task
// that has not run owns a timer of the destroyed loop.

#include "LibCore/event_loop.h"

#include <catch2/catch.hpp>
#include <memory>

namespace wasabi::core {
namespace {

TEST_CASE("a loop releases the tasks that have not run before it is gone") {
  constexpr int kTimers = 1000;
  std::weak_ptr<Timer> last;
  {
    EventLoop loop;
    for (int i = 0; i < kTimers; ++i) {
      const std::shared_ptr<Timer> timer = loop.NewTimer([]() {});
      timer->StartOnce(seconds(3600 + i));
      last = timer;
      loop.Post([timer]() {});
    }
    CHECK(!last.expired());
  }
  CHECK(last.expired());
}

}  // namespace
}  // namespace wasabi::core
