// Replays, in virtual time, a fleet with many requests for a pool whose
// endpoints are all at their limits, and counts the questions for permits.

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibForwarding/permit_exchange.h"
#include "Tests/LibForwarding/ask_exchange.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{seconds(1000)};
constexpr core::Duration kStep = milliseconds(1);
constexpr core::Duration kNetworkDelay = milliseconds(2);
constexpr core::Duration kTick = milliseconds(50);
constexpr core::Duration kRunTime = seconds(4);
// As in SendClearance.
constexpr uint32_t kMaxDeniedQuestions = 4;

struct PoolLoad {
  const char* what;
  size_t hosts = 295;
  size_t endpoints = 12;
  // Requests a second that each endpoint accepts.
  double limit = 4;
  // Requests that each host gets at the same moment, and how often.
  size_t burst = 20;
  core::Duration interval = seconds(1);
};

struct PoolResult {
  uint64_t requests = 0;
  uint64_t sent = 0;
  uint64_t questions = 0;
  // Questions a second that one host sends and that one host receives.
  double max_sent_questions = 0;
  double max_received_questions = 0;
  // Longest time from a request to its permit.
  core::Duration longest_wait{};
};

class Replay {
 public:
  explicit Replay(const PoolLoad& load) : load_(load) {
    for (size_t i = 0; i < load.endpoints; ++i) {
      endpoints_.emplace_back(fmt::format("e{}", i));
    }
    for (size_t i = 0; i < load.hosts; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
    }
    asked_.resize(load.hosts);
    received_.resize(load.hosts);
    for (size_t i = 0; i < load.hosts; ++i) {
      hosts_.push_back(std::make_unique<PermitExchange>(
          ids_[i],
          [this, i](const std::vector<core::HostId>& to,
                    membership::ApplicationKind kind, std::string_view body) {
            Send(i, to, kind, std::string(body));
          },
          /*first_sequence=*/0));
      hosts_[i]->SetHosts(ids_, ids_.size());
      for (const core::RunnerId& it : endpoints_) {
        hosts_[i]->RecordLimit(it, load.limit, kStart);
      }
    }
  }

  PoolResult Run() {
    for (; now_ < kStart + kRunTime; now_ += kStep) {
      while (!queue_.empty() && queue_.front().at <= now_) {
        const Datagram it = queue_.front();
        queue_.pop_front();
        Deliver(it);
      }
      if ((now_ - kStart) % load_.interval == core::Duration::zero()) {
        Arrive();
      }
      if ((now_ - kStart) % kTick == core::Duration::zero()) {
        for (const auto& it : hosts_) {
          it->Tick(now_);
        }
      }
    }
    const double time = core::ToSeconds(kRunTime);
    for (size_t i = 0; i < hosts_.size(); ++i) {
      result_.questions += asked_[i];
      result_.max_sent_questions = std::max(
          result_.max_sent_questions, static_cast<double>(asked_[i]) / time);
      result_.max_received_questions =
          std::max(result_.max_received_questions,
                   static_cast<double>(received_[i]) / time);
    }
    return result_;
  }

 private:
  struct Datagram {
    core::TimePoint at;
    size_t from = 0;
    size_t to = 0;
    membership::ApplicationKind kind;
    std::string body;
  };
  // A request that looks for an endpoint with a permit.
  struct Request {
    size_t host = 0;
    size_t next = 0;
    uint32_t denied = 0;
    core::TimePoint arrived_at;
  };

  void Send(size_t from,
            const std::vector<core::HostId>& to,
            membership::ApplicationKind kind,
            const std::string& body) {
    if (kind != membership::ApplicationKind::kPermitQuestion &&
        kind != membership::ApplicationKind::kPermitAnswer) {
      return;
    }
    for (const core::HostId& it : to) {
      const size_t receiver = std::stoul(it.value().substr(1));
      if (kind == membership::ApplicationKind::kPermitQuestion) {
        ++asked_[from];
        ++received_[receiver];
      }
      queue_.push_back({.at = now_ + kNetworkDelay,
                        .from = from,
                        .to = receiver,
                        .kind = kind,
                        .body = body});
    }
  }

  void Deliver(const Datagram& it) {
    PermitExchange& host = *hosts_[it.to];
    const absl::Status status =
        it.kind == membership::ApplicationKind::kPermitQuestion
            ? host.OnQuestion(ids_[it.from], it.body, now_)
            : host.OnAnswer(ids_[it.from], it.body, now_);
    CHECK(status.ok());
  }

  void Arrive() {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      for (size_t k = 0; k < load_.burst; ++k) {
        ++result_.requests;
        const auto request = std::make_shared<Request>(
            Request{.host = i, .next = i + k, .arrived_at = now_});
        Ask(request);
      }
    }
  }

  // Asks for the next endpoint that has not run out of permits. Gives up after
  // some denials, as SendClearance does.
  void Ask(const std::shared_ptr<Request>& request) {
    PermitExchange& host = *hosts_[request->host];
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      const core::RunnerId& endpoint =
          endpoints_[(request->next + i) % endpoints_.size()];
      if (now_ < host.ExhaustedUntil(endpoint)) {
        continue;
      }
      request->next += i + 1;
      AskExchange(host, endpoint, now_, [this, request](bool is_granted) {
        if (is_granted) {
          ++result_.sent;
          result_.longest_wait =
              std::max(result_.longest_wait, now_ - request->arrived_at);
        } else if (++request->denied < kMaxDeniedQuestions) {
          Ask(request);
        }
      });
      return;
    }
  }

  const PoolLoad load_;
  std::vector<core::RunnerId> endpoints_;
  std::vector<core::HostId> ids_;
  std::vector<std::unique_ptr<PermitExchange>> hosts_;
  std::deque<Datagram> queue_;
  std::vector<uint64_t> asked_;
  std::vector<uint64_t> received_;
  core::TimePoint now_ = kStart;
  PoolResult result_;
};

// Guards against questions that grow with the requests that wait: one denial is
// the answer to all of a host. A host may ask about an endpoint once for each
// burst, and once more for each permit.
TEST_CASE("requests of one host share the denial of a permit") {
  const PoolLoad loads[] = {
      {.what = "20 requests a host and second"},
      {.what = "200 requests a host and second", .burst = 200},
      {.what = "48 endpoints", .endpoints = 48, .burst = 100},
  };
  for (const PoolLoad& load : loads) {
    const PoolResult result = Replay(load).Run();
    const double bursts = kRunTime / load.interval;
    const double bound =
        static_cast<double>(load.hosts * load.endpoints) * bursts +
        2 * static_cast<double>(result.sent);
    WARN(load.what << ": " << result.requests << " requests, " << result.sent
                   << " sent, " << result.questions << " questions, a host "
                   << result.max_sent_questions << "/s, received "
                   << result.max_received_questions << "/s");
    CHECK(static_cast<double>(result.questions) <= bound);
    CHECK(result.sent > 0);
  }
}

// Guards against a queue behind single questions where there are permits.
TEST_CASE("requests that get permits wait for few questions") {
  const PoolLoad load{.what = "many permits",
                      .hosts = 10,
                      .endpoints = 1,
                      .limit = 20'000,
                      .burst = 200};
  const PoolResult result = Replay(load).Run();
  WARN(result.sent << " of " << result.requests << " sent, longest wait "
                   << core::ToMilliseconds(result.longest_wait) << " ms");
  CHECK(static_cast<double>(result.sent) >=
        0.75 * static_cast<double>(result.requests));
  CHECK(result.longest_wait <= milliseconds(50));
}

}  // namespace
}  // namespace wasabi::forwarding
