// Tests what the owner of a runner tells the entry router about requests whose
// engine dies.

#include "Services/Router/runner_owner.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::router {
namespace {

constexpr core::Duration kTimeout = core::seconds(5);
// No poll but the first one tells that the engine is gone.
constexpr core::Duration kPollPeriod = core::seconds(60);
constexpr uint64_t kDigest = 7;

// Stops the loop at the end of the work.
class EndSink : public WorkSink {
 public:
  explicit EndSink(core::EventLoop* loop) : loop_(loop) {}

  void OnStarted() override { is_started_ = true; }
  void OnTryNext() override {
    is_returned_ = true;
    loop_->Stop();
  }
  void OnFollowPointer(const core::RunnerId& /*runner*/) override {
    loop_->Stop();
  }
  void OnChunk(uint32_t /*index*/, std::string_view /*payload*/) override {}
  void OnDone(const absl::Status& status) override {
    code_ = core::CodeOf(status);
    loop_->Stop();
  }

  bool is_started() const { return is_started_; }
  bool is_returned() const { return is_returned_; }
  std::optional<core::ResultCode> code() const { return code_; }

 private:
  core::EventLoop* const loop_;
  bool is_started_ = false;
  bool is_returned_ = false;
  std::optional<core::ResultCode> code_;
};

std::string Answer(const std::string& body) {
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                     body.size(), body);
}

// An owner of one engine that is up at its first poll.
class OwnedEngine {
 public:
  OwnedEngine()
      : server_(&loop_, support::FreeAddress(support::LoopbackIp(5))) {
    server_.SetResponder([this](const std::string& text) {
      const bool is_poll = text.starts_with("GET /v1/load");
      if (!is_poll) {
        ++chats_;
        loop_.Post([this] { BreakConnections(); });
      }
      return is_poll ? Answer(R"({"running":0,"waiting":0})") : std::string();
    });
    settings_.load_poll_period = kPollPeriod;
    settings_.silence_limit = kTimeout;
    settings_.first_chunk_silence_limit = kTimeout;
    SetContext();
    platform::ListedHost engine;
    engine.id = std::string("engine-1");
    engine.pool = core::PoolId("p");
    engine.address = server_.address();
    owner_ = std::make_unique<RunnerOwner>(
        &context_, engine,
        routing::AdmissionPolicy{.load_bound = 100, .max_running = 8});
    watchdog_ = loop_.NewTimer([this] { loop_.Stop(); });
    watchdog_->StartOnce(kTimeout);
    loop_.Run();
  }

  void Kill() {
    server_.StopListening();
    server_.CloseAll();
  }
  // The engine is back at once after a request has crashed it.
  void RestartAfterCrashes() { is_back_at_once_ = true; }

  std::shared_ptr<EndSink> Run(bool is_last_choice) {
    SubmitWork work;
    work.runner = core::RunnerId("engine-1");
    work.pool = core::PoolId("p");
    work.request = core::RequestId("r");
    work.organisation = core::OrganisationId("o");
    work.content_digest = kDigest;
    work.remaining_ms = core::ToMilliseconds(kTimeout);
    work.is_last_choice = is_last_choice;
    work.body = std::string("{}");
    auto sink = std::make_shared<EndSink>(&loop_);
    owner_->Submit(work, sink);
    loop_.Run();
    return sink;
  }

  // Leaves an idle connection of requests to the engine.
  void OpenConnection() {
    http::ClientRequest request;
    request.address = server_.address();
    request.target = "/v1/load";
    client_.Fetch(request,
                  [this](const absl::StatusOr<http::ClientResponse>& response) {
                    CHECK(response.ok());
                    loop_.Stop();
                  });
    loop_.Run();
  }

  bool is_up() const { return is_up_; }
  const std::vector<uint64_t>& crashed() const { return crashed_; }
  // Returns the number of requests that the engine received.
  int chats() const { return chats_; }

 private:
  void BreakConnections() {
    if (is_back_at_once_) {
      server_.CloseAll();
    } else {
      Kill();
    }
  }
  void SetContext() {
    context_.loop = &loop_;
    context_.data_client = &client_;
    context_.control_client = &control_client_;
    context_.events = &events_;
    context_.answers = &answers_;
    context_.settings = &settings_;
    context_.pool_demand = [](const core::PoolId& /*pool*/) {
      return routing::PoolDemand();
    };
    context_.report_condition = [](const core::RunnerId& /*runner*/,
                                   EndpointCondition /*condition*/) {};
    context_.quarantine_verdict = [](uint64_t /*digest*/) {
      return routing::QuarantineVerdict::kClear;
    };
    context_.report_crash = [this](const core::RunnerId& /*runner*/,
                                   const std::vector<uint64_t>& digests) {
      crashed_.insert(crashed_.end(), digests.begin(), digests.end());
    };
    context_.report_load = [this](const core::RunnerId& /*runner*/,
                                  uint32_t /*requests*/) {
      is_up_ = true;
      loop_.Post([this] { loop_.Stop(); });
    };
  }

  core::EventLoop loop_;
  support::RawServer server_;
  http::Client client_{&loop_};
  http::Client control_client_{&loop_};
  core::EventRing events_{"test", 100};
  AnswerStore answers_{kTimeout, 1U << 20U};
  RouterSettings settings_;
  OwnerContext context_;
  bool is_up_ = false;
  bool is_back_at_once_ = false;
  int chats_ = 0;
  std::vector<uint64_t> crashed_;
  std::unique_ptr<core::Timer> watchdog_;
  std::unique_ptr<RunnerOwner> owner_;
};

// Guards against a request that is sent to a dead engine again, runs alone as a
// suspect from then on, and is given up although other engines are left.
TEST_CASE("a request that its dead engine never received goes to the next") {
  for (const bool is_last_choice : {false, true}) {
    INFO("last choice " << is_last_choice);
    OwnedEngine engine;
    REQUIRE(engine.is_up());
    engine.Kill();
    const auto sink = engine.Run(is_last_choice);
    CHECK(sink->is_started());
    CHECK(sink->is_returned());
    CHECK_FALSE(sink->code().has_value());
    CHECK(engine.crashed().empty());
  }
}

// On a connection that was in use before, the client takes the end of the
// connection for that of an idle one, and connects again.
TEST_CASE("a request whose engine dies with it is a suspect") {
  for (const bool reuses_connection : {false, true}) {
    INFO("connection used before " << reuses_connection);
    OwnedEngine engine;
    REQUIRE(engine.is_up());
    if (reuses_connection) {
      engine.OpenConnection();
    }
    const auto sink = engine.Run(/*is_last_choice=*/false);
    REQUIRE(sink->code().has_value());
    CHECK(*sink->code() == core::ResultCode::kEndpointFailed);
    CHECK(engine.crashed() == std::vector<uint64_t>{kDigest});
  }
}

// Guards against a request that the client sends again by itself, so that it
// crashes an engine twice in one attempt.
TEST_CASE("a request that crashes its engine reaches it once") {
  for (const bool has_connection : {false, true}) {
    INFO("connection used before " << has_connection);
    OwnedEngine engine;
    REQUIRE(engine.is_up());
    engine.RestartAfterCrashes();
    if (has_connection) {
      engine.OpenConnection();
    }
    engine.Run(/*is_last_choice=*/false);
    CHECK(engine.chats() == 1);
  }
}

}  // namespace
}  // namespace wasabi::router
