#include "LibPlatform/http_log_client.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibHttp/server.h"
#include "Tests/Support/Platform/platform_service.h"

namespace wasabi::platform {
namespace {

using core::ResultCode;

// The platform stand-in on a free port, with a client of its log.
class Fixture {
 public:
  explicit Fixture(const standin::PlatformOptions& options)
      : service_(&loop_, options), client_(&loop_) {
    Listen();
    HttpLogClientOptions client_options;
    client_options.address = address_;
    client_options.append_timeout = core::milliseconds(300);
    log_ = std::make_unique<HttpLogClient>(&client_, client_options);
  }

  // Runs the loop until `start` has called its callback, and returns what it
  // was called with.
  template <typename Value, typename Start>
  absl::StatusOr<Value> Await(const Start& start) {
    std::optional<absl::StatusOr<Value>> result;
    start([&](const absl::StatusOr<Value>& value) {
      result = value;
      loop_.Stop();
    });
    loop_.Run();
    return *result;
  }

  absl::StatusOr<Offset> Append(const std::string& body) {
    return Await<Offset>(
        [&](const auto& done) { log_->Append("s", body, done); });
  }

  absl::StatusOr<LogPage> Read(Offset from, core::Duration wait) {
    return Await<LogPage>(
        [&](const auto& done) { log_->Read("s", from, wait, done); });
  }

  absl::StatusOr<LogPage> Bounds() {
    return Await<LogPage>([&](const auto& done) { log_->Bounds("s", done); });
  }

  void Post(const std::string& target, const std::string& body) {
    http::ClientRequest request;
    request.method = "POST";
    request.address = address_;
    request.target = target;
    request.body = body;
    const auto response = Await<http::ClientResponse>(
        [&](const auto& done) { client_.Fetch(request, done); });
    REQUIRE(response.ok());
    REQUIRE(response->status == 200);
  }

  void StopServer() { server_.reset(); }

 private:
  void Listen() {
    constexpr int kFirstPort = 20500;
    constexpr int kLastPort = 20900;
    for (int port = kFirstPort; port < kLastPort && !server_; ++port) {
      http::ServerOptions options;
      options.address =
          *core::SocketAddress::Parse("127.4.0.2:" + std::to_string(port));
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

  core::EventLoop loop_;
  standin::PlatformService service_;
  std::unique_ptr<http::Server> server_;
  core::SocketAddress address_;
  http::Client client_;
  std::unique_ptr<HttpLogClient> log_;
};

TEST_CASE("appended records are read at their offsets") {
  Fixture it({});
  CHECK(*it.Append("first") == 0);
  CHECK(*it.Append("\"second\" \u00e9") == 1);
  const auto page = it.Read(0, core::Duration::zero());
  REQUIRE(page.ok());
  CHECK(page->end == 2);
  CHECK(page->records ==
        std::vector<LogRecord>{{0, "first"}, {1, "\"second\" \u00e9"}});
}

struct AppendFault {
  std::string name;
  std::string faults;
  ResultCode expected;
  // Records in the stream after one append under the fault.
  Offset appended;
};

TEST_CASE("the result of an append says what is certain") {
  const auto fault = GENERATE(values<AppendFault>({
      {"none", "{}", ResultCode::kOk, 1},
      {"outage", R"({"outage":true})", ResultCode::kPlatformUnavailable, 0},
      {"closed", R"({"lose_append_answers":1})", ResultCode::kAppendUncertain,
       1},
      {"silent", R"({"lose_append_answers":1,"lose_silently":true})",
       ResultCode::kAppendUncertain, 1},
      {"slow", R"({"answer_delay_ms":1000})", ResultCode::kAppendUncertain, 1},
  }));
  CAPTURE(fault.name);
  Fixture it({});
  // A connection that is kept from here must not make libcurl repeat.
  REQUIRE(it.Bounds().ok());
  it.Post("/faults", fault.faults);
  const auto offset = it.Append("record");
  CHECK(core::CodeOf(offset.status()) == fault.expected);
  it.Post("/faults", R"({"outage":false,"answer_delay_ms":0})");
  CHECK(it.Bounds()->end == fault.appended);
}

TEST_CASE("an append beyond the rate is refused with a retry time") {
  standin::PlatformOptions options;
  options.append_rate = 2;
  Fixture it(options);
  CHECK(it.Append("1").ok());
  CHECK(it.Append("2").ok());
  const auto refused = it.Append("3");
  CHECK(core::CodeOf(refused.status()) == ResultCode::kPlatformUnavailable);
  CHECK(core::RetryAfterOf(refused.status()).has_value());
}

TEST_CASE("a log that is not reached is unavailable") {
  Fixture it({});
  it.StopServer();
  CHECK(core::CodeOf(it.Append("record").status()) ==
        ResultCode::kPlatformUnavailable);
  CHECK(core::CodeOf(it.Read(0, core::Duration::zero()).status()) ==
        ResultCode::kPlatformUnavailable);
}

TEST_CASE("a read waits for its time and returns no record") {
  Fixture it({});
  const auto page = it.Read(0, core::milliseconds(100));
  REQUIRE(page.ok());
  CHECK(page->records.empty());
}

TEST_CASE("a read of forgotten records says so") {
  standin::PlatformOptions options;
  options.retention_records = 2;
  Fixture it(options);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(it.Append("record").ok());
  }
  CHECK(core::CodeOf(it.Read(0, core::Duration::zero()).status()) ==
        ResultCode::kRecordsForgotten);
  CHECK(it.Bounds()->first_kept == 3);
}

}  // namespace
}  // namespace wasabi::platform
