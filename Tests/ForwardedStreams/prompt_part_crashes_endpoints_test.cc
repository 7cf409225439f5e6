// Regression test: requests that share a prompt part which crashes endpoints
// must not crash one endpoint after the other.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::forwarder {
namespace {

using support::ForwarderFixture;
using support::RawServer;

constexpr size_t kEndpoints = 12;
constexpr size_t kHarmfulRequests = 12;
// Endpoints that such requests may crash before they are refused.
constexpr size_t kMaxCrashes = 5;
// Time in which a host finds out that an endpoint has crashed.
constexpr core::Duration kDetectionTime = core::milliseconds(400);

constexpr const char* kHarmfulPart = "bad0";
constexpr const char* kHarmfulTarget = "/chats/harmful";

// A pool of endpoints that crash when they run a request with the harmful part
// in front of the last one.
class CrashingPool {
 public:
  explicit CrashingPool(ForwarderFixture* fixture) : fixture_(fixture) {
    for (size_t i = 0; i < kEndpoints; ++i) {
      servers_.push_back(std::make_unique<RawServer>(
          &fixture_->loop, support::FreeAddress(support::LoopbackIp(13))));
      RawServer* server = servers_.back().get();
      server->SetResponder([this, server](const std::string& text) {
        return Respond(server, text);
      });
      fixture_->Register(fmt::format("m{}", i).c_str(), *server, "ready", "m");
    }
  }

  // Sends a request with the given parts, and one of its own at the end.
  // Returns the status of the answer, or 0 if there is none.
  int Send(const std::string& parts) {
    ++sent_;
    return fixture_
        ->Get(fmt::format("/chats/{}", sent_), false,
              {{"Prompt-Prefix", fmt::format("{}c{:x}:40", parts, sent_)}})
        .status;
  }

  // Sends a request, the same each time, without parts that others share.
  // Returns as Send does.
  int SendHarmfulContent() {
    return fixture_->Get(kHarmfulTarget, false, {{"Prompt-Prefix", "c1:40"}})
        .status;
  }

  size_t crashes() const { return crashes_; }

 private:
  std::string Respond(RawServer* server, const std::string& text) {
    const bool is_harmful =
        text.find(std::string(kHarmfulPart) + ":90,") != std::string::npos ||
        text.find(kHarmfulTarget) != std::string::npos;
    if (!is_harmful) {
      return support::ScriptedSuccess("x");
    }
    ++crashes_;
    fixture_->loop.Post([server]() {
      server->StopListening();
      server->CloseAll();
    });
    return "";
  }

  ForwarderFixture* const fixture_;
  std::vector<std::unique_ptr<RawServer>> servers_;
  size_t sent_ = 0;
  size_t crashes_ = 0;
};

struct PromptCase {
  const char* what;
  // The parts of the harmful requests, without their last one. "%" stands for a
  // part that no other request has.
  std::string harmful;
  // The parts of a harmless request that shares what it can.
  std::string harmless;
};

// Replaces each "%" by a part that depends on its place and on `n`.
std::string WithOwnParts(std::string parts, size_t n) {
  size_t at = parts.find('%');
  while (at != std::string::npos) {
    parts.replace(at, 1, fmt::format("d{:x}:70", at * kHarmfulRequests + n));
    at = parts.find('%');
  }
  return parts;
}

TEST_CASE("a prompt part does not crash endpoint after endpoint") {
  const PromptCase cases[] = {
      {"the first part", "bad0:90,", "a1:80,"},
      {"behind a shared part", "a1:80,bad0:90,", "a1:80,b2:60,"},
      {"among parts that no other request has", "a1:80,%,bad0:90,%,",
       "a1:80,b2:60,"},
  };
  for (const PromptCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it;
    CrashingPool pool(&it);
    it.Configure();
    for (size_t i = 0; i < kHarmfulRequests; ++i) {
      CHECK(pool.Send(WithOwnParts(row.harmful, i)) != 200);
      const core::TimePoint settled = it.loop.Now() + kDetectionTime;
      it.RunUntil([&]() { return it.loop.Now() >= settled; });
    }
    CHECK(pool.crashes() <= kMaxCrashes);
    // Harmless requests of the same organisation with the same other parts are
    // served.
    CHECK(pool.Send(row.harmless) == 200);
    // A part that only ends a prompt is specific to its request.
    CHECK(pool.Send("a1:80,b2:60,") == 200);
  }
}

void Settle(ForwarderFixture& it, core::Duration duration) {
  const core::TimePoint settled = it.loop.Now() + duration;
  it.RunUntil([&]() { return it.loop.Now() >= settled; });
}

// Guards against hosts that forget what crashes endpoints when all of them are
// killed.
TEST_CASE("a refused part stays refused after all hosts were killed") {
  constexpr int kRequests = 6;
  // Time after a start within which the fleet reads its record.
  constexpr core::Duration kReadTime = core::seconds(1);
  const PromptCase cases[] = {
      {"the first part", "bad0:90,", "a1:80,"},
      {"behind a shared part", "a1:80,bad0:90,", "a1:80,b2:60,"},
      {"among parts that no other request has", "a1:80,%,bad0:90,%,",
       "a1:80,b2:60,"},
  };
  for (const PromptCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it;
    CrashingPool pool(&it);
    it.Configure();
    for (size_t i = 0; i < kRequests; ++i) {
      CHECK(pool.Send(WithOwnParts(row.harmful, i)) != 200);
      Settle(it, kDetectionTime);
    }
    const size_t crashes = pool.crashes();
    CHECK(crashes <= kMaxCrashes);
    for (int restarts = 0; restarts < 2; ++restarts) {
      it.KillHosts();
      it.RestartHosts();
      REQUIRE(
          it.RunUntil([&]() { return it.Get("/ready", true).status == 200; }));
      Settle(it, kReadTime);
      for (size_t i = 0; i < kRequests; ++i) {
        CHECK(pool.Send(WithOwnParts(row.harmful, kRequests + i)) != 200);
      }
      CHECK(pool.crashes() == crashes);
      CHECK(pool.Send(row.harmless) == 200);
    }
  }
}

// Guards against hosts that forget a single request that crashes endpoints when
// all of them are killed.
TEST_CASE("a refused request stays refused after all hosts were killed") {
  constexpr int kRequests = 4;
  constexpr size_t kMaxContentCrashes = 3;
  constexpr core::Duration kReadTime = core::seconds(1);
  ForwarderFixture it;
  CrashingPool pool(&it);
  it.Configure();
  for (int restarts = 0; restarts < 3; ++restarts) {
    for (int i = 0; i < kRequests; ++i) {
      CHECK(pool.SendHarmfulContent() != 200);
      Settle(it, kDetectionTime);
    }
    CHECK(pool.crashes() <= kMaxContentCrashes);
    CHECK(pool.Send("a1:80,") == 200);
    Settle(it, kReadTime);
    it.KillHosts();
    it.RestartHosts();
    REQUIRE(
        it.RunUntil([&]() { return it.Get("/ready", true).status == 200; }));
    Settle(it, kReadTime);
  }
}

}  // namespace
}  // namespace wasabi::forwarder
