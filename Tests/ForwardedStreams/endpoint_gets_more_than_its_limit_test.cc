// Regression test: an endpoint that names a limit in its answers must not get
// more requests than that, and what is refused for it can come back when its
// answer says.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;
using support::RawServer;

constexpr core::Duration kWindow = core::seconds(4);
// An endpoint may get this many times what its limit allows in a window, and
// this many requests more.
constexpr double kMaxFactor = 1.5;
constexpr size_t kMaxExtra = 5;
// Time for which each case sends a request every 20 ms.
constexpr core::Duration kDuration = core::seconds(6);

// Counts the requests at the fixture's endpoints, which name their limits.
class LimitedEndpoints {
 public:
  LimitedEndpoints(ForwarderFixture* fixture,
                   std::string first_limit,
                   std::string second_limit)
      : fixture_(fixture),
        limits_{std::move(first_limit), std::move(second_limit)} {
    const std::vector<RawServer*> servers = {&fixture->first, &fixture->second};
    for (size_t i = 0; i < servers.size(); ++i) {
      servers[i]->SetResponder([this, i](const std::string& /*text*/) {
        arrivals_[i].push_back(fixture_->loop.Now());
        return support::ScriptedAnswer(
            status, "Response-Signature: s\r\n" + LimitHeader(i), "x");
      });
    }
  }

  void SetLimit(size_t i, std::string limit) { limits_[i] = std::move(limit); }

  // Returns the largest number of requests that endpoint `i` got in a window.
  size_t MostInWindow(size_t i) const {
    size_t most = 0;
    for (auto it = arrivals_[i].begin(); it != arrivals_[i].end(); ++it) {
      const auto end = std::upper_bound(it, arrivals_[i].end(), *it + kWindow);
      most = std::max(most, static_cast<size_t>(end - it));
    }
    return most;
  }
  size_t count(size_t i) const { return arrivals_[i].size(); }

  int status = 200;

 private:
  std::string LimitHeader(size_t i) const {
    return limits_[i].empty() ? "" : "Server-Limit: " + limits_[i] + "\r\n";
  }

  ForwarderFixture* const fixture_;
  std::string limits_[2];
  std::deque<core::TimePoint> arrivals_[2];
};

size_t MaxInWindow(double limit) {
  return static_cast<size_t>(kMaxFactor * limit * core::ToSeconds(kWindow)) +
         kMaxExtra;
}

struct LimitCase {
  const char* what;
  std::string first_limit;
  std::string second_limit;
  std::string target;
  int endpoint_status;
  // The requests that are served per second at least.
  double min_served_per_second;
};

TEST_CASE("no endpoint gets more than its limit") {
  const LimitCase cases[] = {
      {"one of two", "2", "", "/safe/1", 200, 40},
      {"both", "2", "1.5", "/safe/1", 200, 0.8 * 3.5},
      {"both, requests that run once", "2", "1.5", "/unsafe/1", 200, 0.8 * 3.5},
      {"a limit below one a second", "0.5", "0.5", "/safe/1", 200, 0.4},
      {"retries count", "2", "2", "/safe/1", 500, 0},
  };
  for (const LimitCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it;
    LimitedEndpoints endpoints(&it, row.first_limit, row.second_limit);
    endpoints.status = row.endpoint_status;
    it.Configure();
    size_t sent = 0;
    size_t served = 0;
    const core::TimePoint end = it.loop.Now() + kDuration;
    while (it.loop.Now() < end) {
      ++sent;
      const core::TimePoint started_at = it.loop.Now();
      const CallerResult result = it.Get(row.target);
      served += result.status == 200 ? 1 : 0;
      // What is above the limits is refused at once.
      CHECK(it.loop.Now() - started_at < core::milliseconds(300));
      const core::TimePoint next = started_at + core::milliseconds(20);
      it.RunUntil([&]() { return it.loop.Now() >= next; });
    }
    const std::string limits[] = {row.first_limit, row.second_limit};
    for (size_t i = 0; i < 2; ++i) {
      if (!limits[i].empty()) {
        INFO("endpoint " << i);
        CHECK(endpoints.MostInWindow(i) <= MaxInWindow(std::stod(limits[i])));
        CHECK(endpoints.count(i) > 0);
      }
    }
    INFO(served << " of " << sent << " served");
    CHECK(static_cast<double>(served) >=
          row.min_served_per_second * core::ToSeconds(kDuration));
  }
}

TEST_CASE("a refused request is served when its answer says") {
  ForwarderFixture it;
  LimitedEndpoints endpoints(&it, "2", "2");
  it.Configure();
  size_t refused = 0;
  for (int i = 0; i < 40 && refused < 4; ++i) {
    const CallerResult result = it.Get("/unsafe/1");
    if (result.status == 200) {
      continue;
    }
    ++refused;
    REQUIRE(result.status == 503);
    const auto retry_after = result.headers.Find("Retry-After");
    REQUIRE(retry_after.has_value());
    const core::TimePoint back_at =
        it.loop.Now() + core::FromSeconds(std::stod(*retry_after));
    it.RunUntil([&]() { return it.loop.Now() >= back_at; });
    CHECK(it.Get("/unsafe/1").status == 200);
  }
  CHECK(refused > 0);
}

TEST_CASE("a request is not held while endpoints are full or at their limit") {
  constexpr size_t kSlots = 8;
  ForwarderFixture it;
  LimitedEndpoints endpoints(&it, "8", "");
  it.Configure();
  REQUIRE(it.RunUntil([&]() {
    it.Get("/unsafe/1");
    return endpoints.count(0) > 0;
  }));
  // The second endpoint takes requests and does not answer them.
  it.second.SetResponder([](const std::string& /*text*/) { return ""; });
  std::vector<CallerResult> results(2 * kSlots);
  std::vector<std::shared_ptr<http::OriginCall>> calls;
  const int before = it.second.requests();
  for (CallerResult& result : results) {
    calls.push_back(it.Send(
        "/unsafe/1", {{"Authorization", "Bearer k1"}, {"Deadline-Ms", "60000"}},
        false, &result));
  }
  REQUIRE(it.RunUntil([&]() {
    return it.second.requests() - before == static_cast<int>(kSlots) &&
           std::count_if(results.begin(), results.end(),
                         [](const CallerResult& row) {
                           return row.end.has_value();
                         }) == static_cast<int>(kSlots);
  }));
  // A request may wait for a quarter of its 1.5 s, and only once.
  std::vector<CallerResult> waiting(3 * kSlots);
  const core::TimePoint started_at = it.loop.Now();
  for (CallerResult& result : waiting) {
    calls.push_back(it.Send(
        "/unsafe/1", {{"Authorization", "Bearer k1"}, {"Deadline-Ms", "1500"}},
        false, &result));
  }
  it.RunUntil([&]() {
    return std::all_of(waiting.begin(), waiting.end(),
                       [](const CallerResult& row) { return row.end; });
  });
  CHECK(it.loop.Now() - started_at < core::milliseconds(450));
}

TEST_CASE("a limit ends when the endpoint no longer names it") {
  ForwarderFixture it;
  LimitedEndpoints endpoints(&it, "1", "1");
  it.Configure();
  // Refusals show that the limit is in force.
  CHECK(it.RunUntil([&]() { return it.Get("/safe/1").status == 503; }));
  endpoints.SetLimit(0, "");
  // The next request that reaches the endpoint brings the news.
  CHECK(it.RunUntil([&]() { return it.Get("/safe/1").status == 200; }));
  size_t served = 0;
  const size_t before = endpoints.count(0);
  for (int i = 0; i < 50; ++i) {
    served += it.Get("/safe/1").status == 200 ? 1 : 0;
  }
  INFO(endpoints.count(0) - before << " at the first endpoint");
  CHECK(served >= 45);
}

}  // namespace
}  // namespace wasabi::forwarder
