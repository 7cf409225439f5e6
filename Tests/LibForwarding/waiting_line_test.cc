#include "LibForwarding/waiting_line.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace wasabi::forwarding {
namespace {

const core::PoolId kPool("p");
const core::PoolId kOtherPool("q");

TEST_CASE("requests start by priority, then by arrival, while there is room") {
  WaitingLine line;
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
  std::vector<WaitingTicket> tickets;
  tickets.push_back(line.Join(kPool, 2, start("late")));
  tickets.push_back(line.Join(kPool, 1, start("first")));
  tickets.push_back(line.Join(kPool, 1, start("second")));
  line.Serve();
  CHECK(started == std::vector<std::string>{"first", "second"});
  line.Leave(tickets[1]);
  line.Leave(tickets[2]);
  CHECK(line.SizeOf(kPool) == 1);
  room = 1;
  line.Serve();
  CHECK(started.back() == "late");
}

TEST_CASE("a full pool doesn't hold up another one") {
  WaitingLine line;
  int tried = 0;
  bool has_started = false;
  for (int i = 0; i < 3; ++i) {
    line.Join(kPool, 0, [&tried]() {
      ++tried;
      return false;
    });
  }
  line.Join(kOtherPool, 5, [&has_started]() { return has_started = true; });
  line.Serve();
  CHECK(tried == 1);
  CHECK(has_started);
}

}  // namespace
}  // namespace wasabi::forwarding
