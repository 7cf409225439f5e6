#include <catch2/catch.hpp>
#include <string>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/TopicStore/odd_registrations.h"
#include "platform/configuration_codec.h"

namespace wasabi::adapter {
namespace {

using support::RegistrationWith;

constexpr size_t kMaxErrorBytes = 200;

TEST_CASE("a registration is decoded with all its fields") {
  const auto whole = DecodeRegistration("e1", support::WholeRegistration());
  REQUIRE(whole.ok());
  CHECK(whole->endpoint ==
        forwarding::Endpoint{
            .id = core::RunnerId("e1"),
            .pool = core::PoolId("p"),
            .address = *core::SocketAddress::Parse("127.0.0.1:80"),
            .data_centre = core::DataCentreId("z1"),
            .slots = 4,
            .is_leaving = false,
            .started_at_ms = 1700000000000,
            .software_version = "v1"});
  CHECK(whole->sequence == 3);
  CHECK(whole->cold_left == core::Duration::zero());
}

struct AllowedCase {
  const char* what;
  const char* key;
  const char* value;
};

TEST_CASE("registrations that the pages allow are accepted") {
  const AllowedCase cases[] = {
      {"deployments whose endpoints keep their ids", "born", ""},
      {"the first write of an endpoint", "seq", "0"},
      {"a leaving endpoint", "state", R"("draining")"},
      {"a data centre that no host is in", "zone", R"("elsewhere")"},
      {"a service that is configured later", "service", R"("later")"},
      {"the last port", "address", R"("127.0.0.1:65535")"},
      {"many slots", "slots", "4096"},
      {"a fraction of a millisecond", "cold_left_ms", "1.5"},
      {"a new field", "new", R"({"a":[1,{"b":null}]})"},
      {"a text in a new field", "new", R"("\u00e9 \ud83d\ude00")"},
  };
  for (const AllowedCase& row : cases) {
    INFO(row.what);
    CHECK(DecodeRegistration("e1", RegistrationWith(row.key, row.value)).ok());
  }
  CHECK(DecodeRegistration("e1", RegistrationWith("state", R"("draining")"))
            ->endpoint.is_leaving);
}

TEST_CASE("an entry of another writer names no endpoint") {
  for (const support::OddRegistration& row : support::OddRegistrations()) {
    INFO(row.what);
    const auto decoded = DecodeRegistration("e1", row.text);
    CHECK(core::CodeOf(decoded.status()) == core::ResultCode::kMalformedRecord);
    CHECK(decoded.status().message().size() <= kMaxErrorBytes);
  }
}

TEST_CASE("an entry whose key is no id names no endpoint") {
  // The id is sent to the endpoint in a header.
  for (const std::string& key :
       {std::string(), std::string("a b"), std::string("a\r\nX: y"),
        std::string("a\0b", 3), std::string("\xff\xfe"), std::string("\x7f"),
        std::string("\u00e9")}) {
    INFO(key);
    CHECK_FALSE(DecodeRegistration(key, support::WholeRegistration()).ok());
  }
}

TEST_CASE("a changed byte makes a registration invalid or leaves it usable") {
  constexpr int kMutations = 20'000;
  core::RandomSource random(41);
  for (int n = 0; n < kMutations; ++n) {
    const std::string text =
        support::Mutate(support::WholeRegistration(), &random);
    const auto decoded = DecodeRegistration("e1", text);
    if (!decoded.ok()) {
      continue;
    }
    INFO(text);
    const forwarding::Endpoint& endpoint = decoded->endpoint;
    CHECK_FALSE(endpoint.pool.empty());
    CHECK_FALSE(endpoint.data_centre.empty());
    CHECK_FALSE(endpoint.software_version.empty());
    CHECK_FALSE(endpoint.address.empty());
    CHECK(endpoint.slots > 0);
    CHECK(endpoint.started_at_ms >= 0);
    CHECK(decoded->sequence >= 0);
    CHECK(decoded->cold_left >= core::Duration::zero());
    CHECK(decoded->cold_left <= core::seconds(120));
  }
}

TEST_CASE("a registration states for how long its endpoint stays cold") {
  struct Row {
    const char* value;
    core::Duration left;
  };
  const Row rows[] = {{"0", {}},
                      {"2500", core::milliseconds(2500)},
                      {"2500.0", core::milliseconds(2500)},
                      {"-5", {}},
                      {"900000", core::seconds(120)}};
  for (const Row& row : rows) {
    INFO(row.value);
    const auto registration =
        DecodeRegistration("e1", RegistrationWith("cold_left_ms", row.value));
    REQUIRE(registration.ok());
    CHECK(registration->cold_left == row.left);
  }
}

TEST_CASE("an odd configuration is an error") {
  constexpr int kMutations = 5'000;
  const std::string whole =
      R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/",)"
      R"("kind":"safe","service":"p","timeout_ms":900,"attempts":2}],)"
      R"("services":[{"name":"p","max_conns":9,"engine":{"slots":4}}],)"
      R"("limits":{"max_body_bytes":9},"tenants":[{"name":"t",)"
      R"("api_keys":["k"],"priority":1}]})";
  REQUIRE(DecodeConfiguration(whole).ok());
  for (const support::OddRegistration& row : support::OddRegistrations()) {
    INFO(row.what);
    const auto decoded = DecodeConfiguration(row.text);
    CHECK_FALSE(decoded.ok());
    CHECK(decoded.status().message().size() <= kMaxErrorBytes);
  }
  core::RandomSource random(41);
  int valid = 0;
  for (int n = 0; n < kMutations; ++n) {
    valid += DecodeConfiguration(support::Mutate(whole, &random)).ok() ? 1 : 0;
  }
  CHECK(valid < kMutations);
}

// Returns a configuration with a field at each place that has numbers: in its
// route, its service, the service's engine and the limits of callers.
std::string ConfigurationWith(const std::string& field) {
  return fmt::format(
      R"({{"version":7,"routes":[{{"name":"r","hostname":"h",)"
      R"("path_prefix":"/","kind":"safe","service":"p"{0}}}],)"
      R"("services":[{{"name":"p","engine":{{"new":1{0}}}{0}}}],)"
      R"("limits":{{"new":1{0}}},"tenants":[{{"name":"t","api_keys":["k"]{0}}}]}})",
      field);
}

TEST_CASE("a number of a configuration that is out of range is left out") {
  const auto usual = *DecodeConfiguration(ConfigurationWith(""));
  const std::string values[] = {"-1",   "-1e300", "1e300",
                                "1e18", "-1e18",  "18446744073709551615",
                                "-0.5", "1e17",   std::string(300, '9')};
  for (const char* key :
       {"timeout_ms", "target_latency_ms", "gap_aim_ms", "attempts",
        "max_conns", "warmup_s", "cold_per_s", "kv_tokens", "slots",
        "max_header_bytes", "max_body_bytes", "header_timeout_ms",
        "idle_timeout_ms"}) {
    for (const std::string& value : values) {
      INFO(key << " = " << value.substr(0, 40));
      const auto decoded = DecodeConfiguration(
          ConfigurationWith(fmt::format(R"(,"{}":{})", key, value)));
      REQUIRE(decoded.ok());
      const forwarding::RouteTable& table = **decoded;
      CHECK((table.routes() == usual->routes()));
      CHECK((*table.FindPool(core::PoolId("p")) ==
             *usual->FindPool(core::PoolId("p"))));
      CHECK((table.caller_limits() == usual->caller_limits()));
    }
  }
}

TEST_CASE("a configuration whose version is no whole number is an error") {
  for (const char* version :
       {"-1", "1e300", "1.5", "null", "true", R"("7")", "NaN", "1e400",
        "18446744073709551615", "9223372036854775807", "[7]"}) {
    INFO(version);
    const auto decoded = DecodeConfiguration(
        fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version));
    CHECK(core::CodeOf(decoded.status()) == core::ResultCode::kMalformedRecord);
  }
}

TEST_CASE("a priority that is out of range is left out") {
  for (const char* value : {"-1e300", "1e300", "4294967296", "-2147483649"}) {
    INFO(value);
    const auto decoded = DecodeConfiguration(
        ConfigurationWith(fmt::format(R"(,"priority":{})", value)));
    REQUIRE(decoded.ok());
    CHECK((*decoded)->routes().front().priority == 0);
    CHECK_FALSE((*decoded)->FindOrganisation("k")->priority.has_value());
  }
}

}  // namespace
}  // namespace wasabi::adapter
