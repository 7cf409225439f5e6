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

}  // namespace
}  // namespace wasabi::adapter
