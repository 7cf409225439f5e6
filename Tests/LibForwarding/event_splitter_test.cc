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
      {"no ids", {"data: a\n\n"}, {""}, "", std::nullopt},
      {"an id that is no number", {"id: 3\n\nid: x\n\n"}, {"id: 3\n\n"}, "", 3},
      {"an event twice in one piece",
       {"id: 3\n\nid: 3\n\nid: 4\n\n"},
       {"id: 3\n\n"},
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

struct OrderCase {
  const char* what;
  std::optional<uint64_t> resume_after;
  std::string body;
  bool is_valid;
  size_t bytes_without_event;
};

TEST_CASE("events must have increasing ids") {
  const OrderCase cases[] = {
      {"increasing", std::nullopt, "id: 1\ndata: a\n\nid: 5\ndata: b\n\n", true,
       0},
      {"continued", 5, "id: 6\ndata: a\n\n", true, 0},
      {"a comment between events", std::nullopt, "id: 1\ndata: a\n\n: c\n\n",
       true, 5},
      {"a field before the id", std::nullopt, "x: 1\nid: 1\ndata: a\n\n", true,
       0},
      {"the same id twice", std::nullopt,
       "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", false, 15},
      {"started anew", 5, "id: 1\ndata: a\n\n", false, 15},
      {"data without an id", std::nullopt, "data: a\n\n", false, 9},
      {"an id that is no number", 3, "id: x\ndata: a\n\n", false, 15},
      {"bytes that are no event", std::nullopt, "junk", true, 4},
      {"lines that are no event", std::nullopt, "junk\n\njunk\n\n", false, 6},
  };
  for (const OrderCase& row : cases) {
    INFO(row.what);
    EventSplitter splitter(row.resume_after);
    splitter.Add(row.body);
    CHECK(splitter.is_valid() == row.is_valid);
    CHECK(splitter.bytes_without_event() == row.bytes_without_event);
  }
}

}  // namespace
}  // namespace wasabi::forwarding
