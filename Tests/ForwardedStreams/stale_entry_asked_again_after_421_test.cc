// Regression test: an entry at whose address another endpoint answers 421 must
// not be asked again before it changes.

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/carried_host.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/free_address.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::CarriedHost;
using support::FakeTopicClient;
using support::ForwarderFixture;
using support::RawServer;

constexpr const char* kStale = "old";
constexpr const char* kEvents = "id: 1\ndata: a\n\n";
constexpr int kRequests = 60;
// Time in which a host applies a registration.
constexpr core::Duration kApplyTime = core::milliseconds(500);

std::string FieldOf(const std::string& text, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const size_t at = text.find(start);
  if (at == std::string::npos) {
    return "";
  }
  const size_t begin = at + start.size();
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

std::string Misdirected(const std::string& id, bool states_not_run = true) {
  return fmt::format(
      "HTTP/1.1 421 X\r\nRequest-Id: {}\r\n{}Content-Length: 4\r\n\r\nelse", id,
      states_not_run ? "Not-Executed: 1\r\n" : "");
}

std::string Answer(const std::string& id, bool is_stream) {
  return is_stream
             ? support::ChunkedStreamStart(kEvents, id) + support::kStreamEnd
             : fmt::format(
                   "HTTP/1.1 200 X\r\nRequest-Id: {}\r\n"
                   "Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
                   id);
}

// Endpoints that refuse requests to another id than their own.
class Endpoints {
 public:
  explicit Endpoints(ForwarderFixture* fixture) : fixture_(fixture) {
    ids_[&fixture->first] = "e1";
    ids_[&fixture->second] = "e2";
    for (const auto& [server, id] : ids_) {
      server->SetResponder([this, server = server](const std::string& text) {
        return Respond(server, text);
      });
    }
  }

  // Lets `server` serve as the endpoint `id` from now on.
  void Rename(RawServer* server, const std::string& id) { ids_[server] = id; }
  // Each answer follows a copy of a 421 to the request before.
  void CopyRefusals() { copies_refusals_ = true; }
  // Refusals do not state that the request has not run.
  void OmitStatement() { states_not_run_ = false; }
  // Writes a registration of `id` at the address of `server`.
  void Register(FakeTopicClient* store,
                const std::string& id,
                const RawServer& server,
                int64_t started_at_ms,
                const std::string& pool = "p") {
    store->Write(
        fixture_->names.registrations, id,
        fmt::format(
            R"({{"service":"{}","address":"{}","zone":"z1","version":"v1",)"
            R"("slots":8,"state":"ready","cold_left_ms":0,"seq":{},"born":{}}})",
            pool, server.address().ToString(), ++sequence_, started_at_ms));
  }
  // Returns how many requests to `id` have reached any endpoint.
  int sends(const std::string& id) { return sends_[id]; }
  // Returns the address in the latest request from which its endpoint is to
  // copy the prompt; empty if there is none.
  const std::string& prompt_source() const { return prompt_source_; }

 private:
  std::string Respond(RawServer* server, const std::string& text) {
    const std::string expected = FieldOf(text, "Expect-Instance");
    const std::string id = FieldOf(text, "Request-Id");
    ++sends_[expected];
    prompt_source_ = FieldOf(text, "Kv-Fetch");
    if (expected != ids_[server]) {
      return Misdirected(id, states_not_run_);
    }
    std::string answer =
        Answer(id, text.find("/once/") != std::string::npos ||
                       text.find("/resumable/") != std::string::npos);
    return copies_refusals_
               ? Misdirected(std::exchange(latest_id_, id)) + answer
               : answer;
  }

  ForwarderFixture* const fixture_;
  std::map<RawServer*, std::string> ids_;
  std::map<std::string, int> sends_;
  bool copies_refusals_ = false;
  bool states_not_run_ = true;
  std::string latest_id_ = "id0";
  std::string prompt_source_;
  int sequence_ = 100;
};

void Wait(ForwarderFixture* fixture, core::Duration time) {
  const core::TimePoint end = fixture->loop.Now() + time;
  fixture->RunUntil([&]() { return fixture->loop.Now() >= end; });
}

// Sends `n` requests, one after the other. Returns how many were not served.
int SendRequests(ForwarderFixture* fixture, const char* target, int n) {
  static int request = 0;
  int refused = 0;
  for (int i = 0; i < n; ++i) {
    fixture->request_id = fmt::format("r{}", ++request);
    refused += fixture->Get(target).status == 200 ? 0 : 1;
  }
  return refused;
}

struct StaleCase {
  const char* what;
  // When the endpoint of the stale entry started, and the one that has its
  // address now; 0 if unknown.
  int64_t stale_started_at_ms;
  int64_t new_started_at_ms;
  // Sends to the stale entry.
  int sends;
};

const StaleCase kStaleCases[] = {
    {"unknown starts", 0, 0, 1},
    {"unknown start of the new endpoint", 1, 0, 1},
    {"unknown start of the stale entry", 0, 1, 1},
    {"equal starts", 1, 1, 1},
    {"the new endpoint started later", 1, 2, 0},
    {"the stale entry claims a later start", 2, 1, 1},
};

void CheckStale(const StaleCase& row, const char* target) {
  INFO(row.what << ", " << target);
  // Few requests may be sent again.
  ForwarderFixture it(
      {.is_first_start = true,
       .retries = {.ratio = 0.1, .slack = 3, .window = core::seconds(10)}});
  Endpoints endpoints(&it);
  it.Configure();
  endpoints.Register(it.store, "e2", it.second, row.new_started_at_ms);
  endpoints.Register(it.store, kStale, it.second, row.stale_started_at_ms);
  Wait(&it, kApplyTime);
  const int refused = SendRequests(&it, target, kRequests);
  CHECK(endpoints.sends(kStale) == row.sends);
  CHECK(refused == 0);
  CHECK(endpoints.sends("e1") > 0);
  CHECK(endpoints.sends("e2") > 0);
}

TEST_CASE("a stale entry is asked again after 421") {
  for (const StaleCase& row : kStaleCases) {
    for (const char* target :
         {"/unsafe/1", "/safe/1", "/once/1", "/resumable/1"}) {
      CheckStale(row, target);
    }
  }
}

TEST_CASE("a pool of mostly stale entries refuses requests") {
  constexpr int kStaleEntries = 6;
  constexpr int kManyRequests = 300;
  // One that meets a stale entry each time is refused.
  constexpr int kMaxSendsOfRequest = 4;
  ForwarderFixture it(
      {.is_first_start = true,
       .retries = {.ratio = 0.1, .slack = 15, .window = core::seconds(10)}});
  Endpoints endpoints(&it);
  it.Configure();
  for (int i = 0; i < kStaleEntries; ++i) {
    endpoints.Register(it.store, fmt::format("{}{}", kStale, i), it.second, 0);
  }
  Wait(&it, kApplyTime);
  const int refused = SendRequests(&it, "/unsafe/1", kManyRequests);
  int sends = 0;
  for (int i = 0; i < kStaleEntries; ++i) {
    sends += endpoints.sends(fmt::format("{}{}", kStale, i));
  }
  INFO(sends << " sends to stale entries, " << refused << " of "
             << kManyRequests << " requests refused");
  CHECK(sends == kStaleEntries);
  CHECK(refused <= kStaleEntries / kMaxSendsOfRequest);
}

TEST_CASE("a stale entry is asked before it changes, or not after it has") {
  struct Row {
    const char* what;
    int64_t started_at_ms;
    bool is_removed_before;
    bool is_asked;
  };
  const Row rows[] = {{"a heartbeat", 1, false, false},
                      {"another start", 2, false, true},
                      {"registered anew after its removal", 1, true, true}};
  for (const Row& row : rows) {
    INFO(row.what);
    ForwarderFixture it;
    Endpoints endpoints(&it);
    it.Configure();
    endpoints.Rename(&it.second, "other");
    REQUIRE(it.RunUntil([&]() {
      SendRequests(&it, "/safe/1", 1);
      return endpoints.sends("e2") > 0;
    }));
    endpoints.Rename(&it.second, "e2");
    if (row.is_removed_before) {
      it.store->Write(it.names.registrations, "e2", std::nullopt);
      Wait(&it, kApplyTime);
    }
    endpoints.Register(it.store, "e2", it.second, row.started_at_ms);
    Wait(&it, kApplyTime);
    CHECK(SendRequests(&it, "/safe/1", kRequests) == 0);
    CHECK((endpoints.sends("e2") > 1) == row.is_asked);
  }
}

TEST_CASE("a pool of stale entries is asked again instead of refusing") {
  for (const char* target : {"/unsafe/1", "/once/1"}) {
    INFO(target);
    ForwarderFixture it;
    Endpoints endpoints(&it);
    it.Configure();
    endpoints.Rename(&it.first, "other1");
    endpoints.Rename(&it.second, "other2");
    for (int i = 0; i < 3; ++i) {
      it.request_id = fmt::format("id{}", i);
      const CallerResult result = it.Get(target);
      CHECK(result.status == 503);
      CHECK(result.headers.Find("Retry-After").has_value());
    }
    CHECK(endpoints.sends("e1") == 1);
    CHECK(endpoints.sends("e2") == 1);
  }
}

TEST_CASE("a 421 that is no refusal takes an endpoint out of use") {
  ForwarderFixture it;
  Endpoints endpoints(&it);
  it.Configure();
  endpoints.OmitStatement();
  endpoints.Rename(&it.second, "other");
  SendRequests(&it, "/safe/1", kRequests);
  CHECK(endpoints.sends("e2") > 1);
}

TEST_CASE("a copy of a 421 takes an endpoint out of use") {
  ForwarderFixture it;
  Endpoints endpoints(&it);
  it.Configure();
  endpoints.CopyRefusals();
  CHECK(SendRequests(&it, "/unsafe/1", kRequests) == 0);
  const int before = endpoints.sends("e1");
  CHECK(endpoints.sends("e2") > 0);
  CHECK(SendRequests(&it, "/unsafe/1", kRequests) == 0);
  CHECK(endpoints.sends("e1") > before);
  CHECK(endpoints.sends("e1") + endpoints.sends("e2") == 2 * kRequests);
}

TEST_CASE("a prompt is copied from the address of a stale entry") {
  ForwarderFixture it;
  Endpoints endpoints(&it);
  endpoints.Register(it.store, "e1", it.first, 1, "m");
  endpoints.Register(it.store, "e2", it.second, 1, "m");
  it.Configure();
  endpoints.Rename(&it.second, "other");
  std::set<std::string> sources;
  for (int i = 0; i < kRequests; ++i) {
    it.request_id = fmt::format("id{}", i);
    // A prompt of its own, which no endpoint has served.
    const auto prompt = fmt::format("{:x}:100", i + 1);
    const bool was_refused = endpoints.sends("e2") > 0;
    CHECK(it.Get("/chats/1", false, {{"Prompt-Prefix", prompt}}).status == 200);
    if (was_refused) {
      sources.insert(endpoints.prompt_source());
    }
  }
  CHECK(endpoints.sends("e2") == 1);
  CHECK(sources == std::set<std::string>{""});
}

// A host that reaches endpoints through another one, and a stale entry that
// both know.
class CarriedStaleEntry : public CarriedHost {
 public:
  CarriedStaleEntry() : endpoints(&fixture) {
    fixture.links.insert(
        {kStale, support::FreeAddress(support::LoopbackIp(50))});
    for (FakeTopicClient* it : {fixture.store, carrier_->store}) {
      endpoints.Register(it, kStale, fixture.second, 1);
    }
    Wait(&fixture, kApplyTime);
  }

  // Sends requests to the carrier itself until it has asked the stale entry.
  void AskAtCarrier() {
    std::swap(fixture.settings.callers_address,
              carrier_->settings.callers_address);
    REQUIRE(fixture.RunUntil([this]() {
      SendRequests(&fixture, "/safe/1", 1);
      return endpoints.sends(kStale) > 0;
    }));
    std::swap(fixture.settings.callers_address,
              carrier_->settings.callers_address);
  }

  Endpoints endpoints;
};

TEST_CASE("a stale entry is asked again after 421 through a tunnel") {
  for (const bool does_carrier_know : {false, true}) {
    INFO(does_carrier_know);
    CarriedStaleEntry it;
    if (does_carrier_know) {
      it.AskAtCarrier();
    }
    CHECK(SendRequests(&it.fixture, "/unsafe/1", kRequests) == 0);
    CHECK(it.endpoints.sends(kStale) == 1);
  }
}

}  // namespace
}  // namespace wasabi::forwarder
