#include "LibForwarding/event_splitter.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace wasabi::forwarding {
namespace {

struct SplitCase {
  const char* what;
  std::vector<std::string> pieces;
  // The events that are complete after each piece.
  std::vector<std::string> events;
  std::string rest;
  std::optional<uint64_t> last_event_id;
};

TEST_CASE("a stream is split into complete events") {
  const SplitCase cases[] = {
      {"one event", {"id: 1\ndata: a\n\n"}, {"id: 1\ndata: a\n\n"}, "", 1},
      {"an event in pieces",
       {"id: 1\nda", "ta: a\n", "\n"},
       {"", "", "id: 1\ndata: a\n\n"},
       "",
       1},
      {"half an event at the end",
       {"id: 1\ndata: a\n\nid: 2\nda"},
       {"id: 1\ndata: a\n\n"},
       "id: 2\nda",
       1},
      {"two events at once",
       {"id: 1\n\nid: 2\n\n"},
       {"id: 1\n\nid: 2\n\n"},
       "",
       2},
      {"carriage returns",
       {"id: 7\r\ndata: a\r\n", "\r\nid: 8\r\n"},
       {"", "id: 7\r\ndata: a\r\n\r\n"},
       "id: 8\r\n",
       7},
      {"no ids", {"data: a\n\n"}, {"data: a\n\n"}, "", std::nullopt},
      {"an id that is no number",
       {"id: 3\n\nid: x\n\n"},
       {"id: 3\n\nid: x\n\n"},
       "",
       3},
  };
  for (const SplitCase& row : cases) {
    INFO(row.what);
    EventSplitter splitter;
    std::vector<std::string> events;
    for (const std::string& piece : row.pieces) {
      events.push_back(splitter.Add(piece));
    }
    CHECK(events == row.events);
    CHECK(splitter.last_event_id() == row.last_event_id);
    CHECK(splitter.remainder() == row.rest);
  }
}

}  // namespace
}  // namespace wasabi::forwarding
