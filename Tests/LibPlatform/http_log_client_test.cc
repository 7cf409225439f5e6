#include "LibPlatform/http_log_client.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "Tests/LibPlatform/platform_fixture.h"

namespace wasabi::platform {
namespace {

using core::ResultCode;

// The platform stand-in with a client of its log.
class Fixture : public PlatformFixture {
 public:
  explicit Fixture(const standin::PlatformOptions& options)
      : PlatformFixture(options) {
    HttpLogClientOptions client_options;
    client_options.address = address();
    client_options.append_timeout = core::milliseconds(300);
    log_ = std::make_unique<HttpLogClient>(client(), client_options);
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

  void PostFaults(const std::string& faults) {
    Send("POST", "/faults", faults);
  }

 private:
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

TEST_CASE("the result of an append states what is known of the record") {
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
  // Leaves an idle connection behind, on which libcurl must not resend the
  // append.
  REQUIRE(it.Bounds().ok());
  it.PostFaults(fault.faults);
  const auto offset = it.Append("record");
  CHECK(core::CodeOf(offset.status()) == fault.expected);
  it.PostFaults(R"({"outage":false,"answer_delay_ms":0})");
  CHECK(it.Bounds()->end == fault.appended);
}

TEST_CASE("an append above the rate limit is refused with a retry delay") {
  standin::PlatformOptions options;
  options.append_rate = 2;
  Fixture it(options);
  CHECK(it.Append("1").ok());
  CHECK(it.Append("2").ok());
  const auto refused = it.Append("3");
  CHECK(core::CodeOf(refused.status()) == ResultCode::kPlatformUnavailable);
  CHECK(core::RetryAfterOf(refused.status()).has_value());
}

TEST_CASE("an unreachable log is reported as unavailable") {
  Fixture it({});
  it.StopServer();
  CHECK(core::CodeOf(it.Append("record").status()) ==
        ResultCode::kPlatformUnavailable);
  CHECK(core::CodeOf(it.Read(0, core::Duration::zero()).status()) ==
        ResultCode::kPlatformUnavailable);
}

TEST_CASE("a read without new records returns an empty page after its wait") {
  Fixture it({});
  const auto page = it.Read(0, core::milliseconds(100));
  REQUIRE(page.ok());
  CHECK(page->records.empty());
}

TEST_CASE("a read before the retained range is an error") {
  standin::PlatformOptions options;
  options.retention_records = 2;
  Fixture it(options);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(it.Append("record").ok());
  }
  CHECK(core::CodeOf(it.Read(0, core::Duration::zero()).status()) ==
        ResultCode::kRecordsTruncated);
  CHECK(it.Bounds()->first_retained == 3);
}

}  // namespace
}  // namespace wasabi::platform
