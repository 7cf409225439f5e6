// Tests parsing, causal order and output formats of merged events.

#include "Utilities/Timeline/timeline.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "LibCore/event_ring.h"

namespace wasabi::timeline {
namespace {

TEST_CASE("a cause is sorted before its effect even if the clocks disagree") {
  core::EventRing sender("sender", 10);
  core::EventRing receiver("receiver", 10);
  receiver.Record(core::EventCode::kProcessStarted, "", "");
  sender.Record(core::EventCode::kRequestForwarded, "r", "");
  receiver.ObserveIncoming(sender.StampOutgoing());
  receiver.Record(core::EventCode::kAttemptStarted, "r", "");
  const auto sent = ParseEvents(core::EventsToJson("sender", sender.Since(0)));
  auto received =
      ParseEvents(core::EventsToJson("receiver", receiver.Since(0)));
  REQUIRE(sent.ok());
  REQUIRE(received.ok());
  // Simulates a receiver whose clock is one hour behind.
  constexpr int64_t kHourNanoseconds = 3600LL * 1000 * 1000 * 1000;
  std::vector<ProcessEvent> events = *sent;
  for (ProcessEvent& it : *received) {
    it.event.wall_nanoseconds -= kHourNanoseconds;
    events.push_back(it);
  }
  const std::vector<ProcessEvent> request = FilterByRequest(Merge(events), "r");
  REQUIRE(request.size() == 2);
  CHECK(request[0].process == "sender");
  CHECK(request[1].process == "receiver");
  const auto trace = nlohmann::json::parse(ToTrace(Merge(events)));
  CHECK(trace["traceEvents"].size() == 7);
  CHECK(ToText(request).find("attempt_started") != std::string::npos);
}

TEST_CASE("a response body without an events array is rejected") {
  const std::string body = GENERATE("", "[]", "{}", "{\"events\":3}");
  CHECK_FALSE(ParseEvents(body).ok());
}

}  // namespace
}  // namespace wasabi::timeline
