#include "LibForwarding/wait_queue.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace wasabi::forwarding {
namespace {

const core::PoolId kPool("p");
const core::PoolId kOtherPool("q");

routing::WorkItem OfPriority(int priority) {
  routing::WorkItem item;
  item.priority = PriorityClassOf(priority);
  return item;
}

TEST_CASE("requests start by priority, then by arrival, while there is room") {
  WaitQueue queue;
  std::vector<std::string> started;
  int room = 2;
  const auto start = [&](const std::string& name) {
    return [&started, &room, name]() {
      if (room == 0) {
        return false;
      }
      --room;
      started.push_back(name);
      return true;
    };
  };
  std::vector<WaitTicket> tickets;
  tickets.push_back(queue.Join(kPool, OfPriority(2), start("late")));
  tickets.push_back(queue.Join(kPool, OfPriority(1), start("first")));
  tickets.push_back(queue.Join(kPool, OfPriority(1), start("second")));
  queue.Serve();
  CHECK(started == std::vector<std::string>{"first", "second"});
  queue.Leave(tickets[1]);
  queue.Leave(tickets[2]);
  CHECK(queue.SizeOf(kPool) == 1);
  room = 1;
  queue.Serve();
  CHECK(started.back() == "late");
}

TEST_CASE("a full pool does not block another one") {
  WaitQueue queue;
  int tried = 0;
  bool has_started = false;
  for (int i = 0; i < 3; ++i) {
    queue.Join(kPool, OfPriority(0), [&tried]() {
      ++tried;
      return false;
    });
  }
  queue.Join(kOtherPool, OfPriority(5),
             [&has_started]() { return has_started = true; });
  queue.Serve();
  CHECK(tried == 1);
  CHECK(has_started);
}

}  // namespace
}  // namespace wasabi::forwarding
