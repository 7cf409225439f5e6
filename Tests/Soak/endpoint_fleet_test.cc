// Guards against a stand-in that is gone before its last answer has arrived.

#include "Tests/Soak/endpoint_fleet.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "LibCore/text.h"
#include "LibHttp/origin_client.h"
#include "Tests/Soak/operator.h"
#include "platform/adapters.h"
#include "platform/configuration_codec.h"
#include "platform/wire_names.h"

namespace wasabi::soak {
namespace {

// Bytes need this long to pass the proxy of the endpoint.
constexpr core::Duration kLinkDelay = core::milliseconds(120);
constexpr core::Duration kTestTime = core::seconds(10);

// Returns a request whose stream is short, but outlasts the time for which an
// endpoint serves at least after it has announced that it leaves.
core::RequestId ShortStream() {
  constexpr uint64_t kMinEvents = 10;
  constexpr uint64_t kMaxEvents = 14;
  for (int i = 0;; ++i) {
    core::RequestId id(fmt::format("id{}", i));
    const uint64_t n = support::EventCountOf(id);
    if (n >= kMinEvents && n <= kMaxEvents) {
      return id;
    }
  }
}

TEST_CASE("an endpoint that leaves delivers its last answer") {
  core::EventLoop loop;
  SoakOptions options;
  options.bounds.leaving = core::Duration::zero();
  support::WatchedLog log;
  History history;
  EndpointFleet fleet(&loop, options, &log, &history);
  REQUIRE(fleet.Add(core::PoolId(kLongPool)).ok());
  const auto records = log.log().ReadNewest(adapter::kRegistrationTopic);
  REQUIRE(records.records.size() == 1);
  const auto registration = adapter::DecodeRegistration(
      records.records[0].key, *records.records[0].value);
  REQUIRE(registration.ok());

  fleet.AddLinkFault(0,
                     {.kind = support::LinkFaultKind::kDelay,
                      .duration = kTestTime,
                      .delay = kLinkDelay},
                     kTestTime);
  http::OriginClient client(&loop);
  http::OriginRequest request;
  request.address = registration->endpoint.address;
  request.method = "POST";
  request.target = "/long/1";
  request.headers = {
      {std::string(adapter::kRequestIdHeader), ShortStream().value()},
      {std::string(adapter::kPromptPartsHeader), "1:500"}};
  std::string body;
  std::optional<http::OriginOutcome> end;
  http::OriginCallbacks callbacks;
  callbacks.on_head = [](const http::AnswerHead& /*head*/) {};
  callbacks.on_body = [&body](std::string_view piece) { body.append(piece); };
  callbacks.on_end = [&](http::OriginOutcome outcome) {
    end = outcome;
    loop.Stop();
  };
  const auto call = client.Send(request, std::move(callbacks));
  const auto poll_timer = loop.NewTimer([&fleet]() { fleet.Poll(); });
  poll_timer->StartRepeating(core::milliseconds(1));
  const auto leave_timer =
      loop.NewTimer([&fleet]() { fleet.Replace(0, Announcement::kAnswers); });
  leave_timer->StartOnce(2 * kLinkDelay);
  loop.Run();

  CHECK(end == http::OriginOutcome::kComplete);
  REQUIRE(history.runs.size() == 1);
  CHECK(history.runs[0]->end == support::RunEnd::kAnswered);
}

}  // namespace
}  // namespace wasabi::soak
