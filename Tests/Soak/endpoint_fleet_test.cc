// Guards against a stand-in that is gone before its last answer has arrived,
// and against renewals that don't bring back what was refused.

#include "Tests/Soak/endpoint_fleet.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibHttp/origin_client.h"
#include "Tests/Soak/operator.h"
#include "Tests/Soak/refusal_counts.h"
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

// Returns the ids of the registered endpoints, and checks that all of them have
// the same address.
std::vector<std::string> RegisteredAt(const support::WatchedLog& log,
                                      core::SocketAddress* address) {
  std::vector<std::string> ids;
  for (const auto& it :
       log.log().ReadNewest(adapter::kRegistrationTopic).records) {
    const auto registration = adapter::DecodeRegistration(it.key, *it.value);
    REQUIRE(registration.ok());
    if (!ids.empty()) {
      CHECK(registration->endpoint.address == *address);
    }
    *address = registration->endpoint.address;
    ids.push_back(it.key);
  }
  return ids;
}

// Returns `n` requests, each of which is sent to all of `endpoints` in turn.
std::string RequestsTo(const std::vector<std::string>& endpoints, size_t n) {
  std::string text;
  for (size_t i = 0; i < n; ++i) {
    for (const std::string& it : endpoints) {
      text += fmt::format(
          "POST /plain/1 HTTP/1.1\r\nHost: soak.test\r\n{}: r{}\r\n{}: {}\r\n"
          "Content-Length: 0\r\n\r\n",
          adapter::kRequestIdHeader, i, adapter::kExpectedEndpointHeader, it);
    }
  }
  return text;
}

size_t CountOf(const std::string& text, const std::string& part) {
  size_t n = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++n;
  }
  return n;
}

TEST_CASE("an endpoint that takes an address over repeats its refusals") {
  constexpr size_t kRequests = 40;
  core::EventLoop loop;
  SoakOptions options;
  support::WatchedLog log;
  History history;
  EndpointFleet fleet(&loop, options, &log, &history);
  REQUIRE(fleet.Add(core::PoolId(kPlainPool)).ok());
  core::SocketAddress address;
  const std::string ended = RegisteredAt(log, &address).at(0);
  fleet.Renew(0, Successor::kSamePool);
  REQUIRE(RegisteredAt(log, &address).size() == 2);
  REQUIRE(history.renewals.size() == 1);
  const std::string successor = history.renewals[0].successor.value();
  CHECK(history.renewals[0].ended.value() == ended);

  const auto stream = http::TcpStream::Connect(&loop, address);
  REQUIRE(stream.ok());
  std::string answers;
  http::TcpStream::Callbacks callbacks;
  callbacks.on_data = [&](std::string_view bytes) { answers.append(bytes); };
  (*stream)->Start(std::move(callbacks));
  (*stream)->Write(RequestsTo({ended, successor}, kRequests));
  const core::TimePoint end = loop.Now() + kTestTime;
  const auto timer = loop.NewTimer([&]() {
    fleet.Poll();
    if (RegisteredAt(log, &address).size() == 1 || loop.Now() > end) {
      loop.Stop();
    }
  });
  timer->StartRepeating(core::milliseconds(5));
  loop.Run();

  CHECK(RegisteredAt(log, &address) == std::vector<std::string>{successor});
  const RefusalCounts counts = CountRefusals(history);
  CHECK(counts.renewals == 1);
  CHECK(counts.again_at_address == kRequests);
  CHECK(counts.again_on_connection == kRequests);
  CHECK(counts.own_copies > 0);
  CHECK(counts.copies >= counts.own_copies);
  CHECK(CountOf(answers, "HTTP/1.1 ") == 2 * kRequests + counts.copies);
  CHECK(CountOf(answers, "HTTP/1.1 421") >= kRequests + counts.own_copies);
  REQUIRE(history.runs.size() == 2 * kRequests);
  for (const auto& it : history.runs) {
    CHECK((it->endpoint.value() == ended || it->endpoint.value() == successor));
    CHECK((it->endpoint.value() == successor ||
           it->end == support::RunEnd::kRefused));
  }
}

TEST_CASE("another pool takes the address of an endpoint over") {
  core::EventLoop loop;
  SoakOptions options;
  support::WatchedLog log;
  History history;
  EndpointFleet fleet(&loop, options, &log, &history);
  REQUIRE(fleet.Add(core::PoolId(kPlainPool)).ok());
  core::SocketAddress address;
  const std::string ended = RegisteredAt(log, &address).at(0);
  fleet.Renew(0, Successor::kOtherPool);
  std::map<std::string, std::string> pools;
  for (const auto& it :
       log.log().ReadNewest(adapter::kRegistrationTopic).records) {
    const auto registration = adapter::DecodeRegistration(it.key, *it.value);
    REQUIRE(registration.ok());
    pools[registration->endpoint.address.ToString()] +=
        registration->endpoint.pool.value() + " ";
  }
  // The stale entry and its successor, and what the pool got instead.
  std::set<std::string> found;
  for (const auto& it : pools) {
    found.insert(it.second);
  }
  CHECK(found == std::set<std::string>{
                     fmt::format("{} {} ", kOtherPlainPool, kPlainPool),
                     fmt::format("{} ", kPlainPool)});

  const auto stream = http::TcpStream::Connect(&loop, address);
  REQUIRE(stream.ok());
  http::TcpStream::Callbacks callbacks;
  callbacks.on_data = [&](std::string_view /*bytes*/) { loop.Stop(); };
  callbacks.on_end = [&](http::TcpStream::End /*end*/) { loop.Stop(); };
  (*stream)->Start(std::move(callbacks));
  (*stream)->Write(RequestsTo({ended}, 1));
  loop.Run();
  REQUIRE(history.runs.size() == 1);
  CHECK(history.runs[0]->end == support::RunEnd::kRefused);
  CHECK(history.runs[0]->endpoint.value() == ended);
  CHECK(history.runs[0]->pool == core::PoolId(kPlainPool));
}

}  // namespace
}  // namespace wasabi::soak
