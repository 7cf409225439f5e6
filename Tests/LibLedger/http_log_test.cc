// Tests two controllers of one partition that use the real HTTP log client with
// the platform stand-in. Everything runs on one event loop in real time.

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibHttp/client.h"
#include "LibHttp/server.h"
#include "LibLedger/partition_controller.h"
#include "LibPlatform/http_log_client.h"
#include "LibPlatform/loop_scheduler.h"
#include "Tests/LibLedger/fake_endpoint.h"
#include "Tests/Support/Platform/platform_service.h"

namespace wasabi::ledger {
namespace {

using core::ResultCode;

constexpr size_t kOwners = 2;
constexpr core::Duration kDeadline = core::seconds(20);

// A simulated host that believes that it owns the partition.
struct Owner {
  std::unique_ptr<platform::HttpLogClient> log;
  std::unique_ptr<FakeDispatcher> dispatcher;
  std::shared_ptr<PartitionController> controller;
};

class Fixture {
 public:
  Fixture()
      : service_(&loop_, standin::PlatformOptions()),
        client_(&loop_),
        scheduler_(&loop_),
        endpoint_(&scheduler_, 1) {
    Listen();
    for (size_t i = 0; i < kOwners; ++i) {
      owners_.push_back(MakeOwner(i + 1));
    }
  }

  FakeEndpoint& endpoint() { return endpoint_; }

  // Submits a call with the same key to every owner.
  void SubmitToAll(const std::string& key) {
    for (const Owner& owner : owners_) {
      LedgerCall call;
      call.organisation = core::OrganisationId("organisation");
      call.key = key;
      call.content_digest = DigestOf("service", "/path", "");
      call.deadline_ms = core::ToMilliseconds(kDeadline);
      ++open_calls_;
      owner.controller->Submit(call, [this](const LedgerOutcome& outcome) {
        ++codes_[outcome.result_code()];
        if (--open_calls_ == 0) {
          loop_.Stop();
        }
      });
    }
  }

  // Runs until every call is answered. Returns the number of answers per result
  // code.
  std::map<ResultCode, int> Run() {
    loop_.Run();
    return codes_;
  }

  // Configures the faults of the platform stand-in. `faults` is a JSON object.
  void PostFaults(const std::string& faults) {
    http::ClientRequest request;
    request.method = "POST";
    request.address = address_;
    request.target = "/faults";
    request.body = faults;
    client_.Fetch(request,
                  [this](const absl::StatusOr<http::ClientResponse>& response) {
                    REQUIRE(response.ok());
                    loop_.Stop();
                  });
    loop_.Run();
  }

 private:
  void Listen() {
    constexpr int kFirstPort = 20900;
    constexpr int kLastPort = 21300;
    for (int port = kFirstPort; port < kLastPort && !server_; ++port) {
      http::ServerOptions options;
      options.address =
          *core::SocketAddress::Parse("127.4.0.3:" + std::to_string(port));
      auto server = http::Server::Create(
          &loop_, options, [this](const std::shared_ptr<http::Exchange>& it) {
            service_.Handle(it);
          });
      if (server.ok()) {
        address_ = options.address;
        server_ = *std::move(server);
      }
    }
    REQUIRE(server_ != nullptr);
  }

  Owner MakeOwner(uint64_t writer) {
    Owner owner;
    platform::HttpLogClientOptions log_options;
    log_options.address = address_;
    log_options.append_timeout = core::milliseconds(300);
    owner.log =
        std::make_unique<platform::HttpLogClient>(&client_, log_options);
    owner.dispatcher =
        std::make_unique<FakeDispatcher>(&endpoint_, &scheduler_);
    PartitionDependencies dependencies;
    dependencies.log = owner.log.get();
    dependencies.scheduler = &scheduler_;
    dependencies.dispatcher = owner.dispatcher.get();
    dependencies.wall_clock = [] {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      return core::ToMilliseconds(
          std::chrono::duration_cast<core::Duration>(now));
    };
    PartitionOptions options;
    options.writer = writer;
    owner.controller = PartitionController::Create(dependencies, options);
    owner.controller->Open();
    return owner;
  }

  core::EventLoop loop_;
  standin::PlatformService service_;
  core::SocketAddress address_;
  std::unique_ptr<http::Server> server_;
  http::Client client_;
  platform::LoopScheduler scheduler_;
  FakeEndpoint endpoint_;
  std::vector<Owner> owners_;
  size_t open_calls_ = 0;
  std::map<ResultCode, int> codes_;
};

TEST_CASE("two owners that use the HTTP log run each key exactly once") {
  const std::string faults =
      GENERATE("{}", R"({"lose_append_answers":4})",
               R"({"lose_append_answers":4,"lose_silently":true})");
  CAPTURE(faults);
  constexpr int kKeys = 20;
  Fixture it;
  it.PostFaults(faults);
  for (int i = 0; i < kKeys; ++i) {
    it.SubmitToAll("key-" + std::to_string(i));
  }
  const std::map<ResultCode, int> codes = it.Run();
  CHECK(codes == std::map<ResultCode, int>{
                     {ResultCode::kOk, static_cast<int>(kOwners) * kKeys}});
  CHECK(it.endpoint().executions().size() == kKeys);
  for (const auto& [key, runs] : it.endpoint().executions()) {
    CHECK(runs.size() == 1);
  }
}

}  // namespace
}  // namespace wasabi::ledger
