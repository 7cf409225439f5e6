#include "platform/store_client.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"
#include "Tests/Support/malformed_heads.h"
#include "platform/discovery_codec.h"

namespace wasabi::adapter {
namespace {

using core::ResultCode;
using platform::KeyedPage;
using platform::KeyedRecord;

std::string Answer(int status,
                   const std::string& body,
                   const std::string& fields = "") {
  return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status,
                     fields, body.size(), body);
}

// Returns `value` as `n` bytes in big-endian order.
std::string Bytes(uint64_t value, size_t n) {
  std::string bytes;
  for (size_t i = n; i > 0; --i) {
    bytes.push_back(static_cast<char>(value >> (8 * (i - 1))));
  }
  return bytes;
}

// Returns an encoded record, preceded by its length.
std::string Record(const std::string& key, const std::string& value) {
  const std::string body = Bytes(key.size(), 1) + key + value;
  return Bytes(body.size(), 4) + body;
}

struct Fixture {
  Fixture()
      : server(&loop, support::FreeAddress(support::LoopbackIp(3))),
        http_client(&loop),
        events("test", 100),
        store(&http_client,
              server.address(),
              std::make_shared<InvalidHeaderLog>(&events)) {
    server.SetResponder([this](const std::string& request) {
      requests.push_back(request.substr(0, request.find(" HTTP/")));
      return answers.at(requests.size() - 1);
    });
  }

  // Runs `call` and the loop until the read completes. Returns its result.
  absl::StatusOr<KeyedPage> Await(
      const std::function<void(platform::KeyedTopicClient::ReadCallback)>&
          call) {
    absl::StatusOr<KeyedPage> result = absl::UnknownError("no answer");
    call([&](absl::StatusOr<KeyedPage> page) {
      result = std::move(page);
      loop.Stop();
    });
    loop.Run();
    return result;
  }
  absl::StatusOr<KeyedPage> ReadNewest() {
    return Await([this](auto callback) { store.ReadNewest("t", callback); });
  }
  absl::StatusOr<KeyedPage> ReadFrom(platform::Offset from) {
    return Await([this, from](auto callback) {
      store.ReadFrom("t", from, core::milliseconds(500), callback);
    });
  }

  core::EventLoop loop;
  support::RawServer server;
  http::Client http_client;
  core::EventRing events;
  StoreClient store;
  std::vector<std::string> answers;
  std::vector<std::string> requests;
};

TEST_CASE(
    "newest records are read in pages; the next offset is the first page's "
    "end") {
  Fixture it;
  it.answers = {Answer(200, R"({"items":[{"key":"a","value":"MQ==","offset":3}],
                      "has_more":true,"end":5})"),
                Answer(200, R"({"items":[{"key":"b","value":"Mg==","offset":6}],
                      "has_more":false,"end":9})")};
  const auto page = it.ReadNewest();
  REQUIRE(page.ok());
  CHECK(page->next == 5);
  CHECK(page->records ==
        std::vector<KeyedRecord>{{.key = "a", .value = "1", .offset = 3},
                                 {.key = "b", .value = "2", .offset = 6}});
  CHECK(it.requests ==
        std::vector<std::string>{"GET /log-newest?topic=t&part=0",
                                 "GET /log-newest?topic=t&part=0&after=a"});
}

struct OddItemCase {
  const char* what;
  std::string item;
};

TEST_CASE("a record that can't be read does not hide the other records") {
  const OddItemCase cases[] = {
      {"a key that is no UTF-8", "\"key\":\"m\xff\",\"value\":\"MQ==\""},
      {"half of a character", "\"key\":\"m\xe2\x82\",\"value\":\"MQ==\""},
      {"an overlong character", "\"key\":\"\xc0\xaf\",\"value\":\"MQ==\""},
      {"a surrogate in UTF-8", "\"key\":\"\xed\xa0\x80\",\"value\":\"MQ==\""},
      {"a lone low surrogate", R"("key":"m\udcff","value":"MQ==")"},
      {"a lone high surrogate", R"("key":"\\\ud800x","value":"MQ==")"},
      {"a high surrogate before an escape",
       R"("key":"\ud83d\u0041","value":"MQ==")"},
      {"a key that the store replaced", R"("key":"m\ufffd","value":"MQ==")"},
      {"no key", R"("value":"MQ==")"},
      {"a key of another type", R"("key":7,"value":"MQ==")"},
      {"no value", R"("key":"m")"},
      {"a null value", R"("key":"m","value":null)"},
      {"a value that is no Base64", R"("key":"m","value":"!")"},
      {"a value of another type", R"("key":"m","value":[])"},
  };
  for (const OddItemCase& row : cases) {
    INFO(row.what);
    Fixture it;
    it.answers = {Answer(
        200,
        R"({"items":[{"key":"a\ud83d\ude00","value":"MQ==","offset":3},{)" +
            row.item + R"(,"offset":4},)" +
            R"({"key":"z","value":"Mg==","offset":5}],"end":6})")};
    const auto page = it.ReadNewest();
    REQUIRE(page.ok());
    CHECK(page->next == 6);
    CHECK(page->unreadable == std::vector<platform::Offset>{4});
    CHECK(page->records ==
          std::vector<KeyedRecord>{
              {.key = "a\xf0\x9f\x98\x80", .value = "1", .offset = 3},
              {.key = "z", .value = "2", .offset = 5}});
  }
}

TEST_CASE("pages that end with unreadable keys are read on") {
  const std::string odd = "{\"key\":\"b\xff\",\"value\":\"MQ==\",\"offset\":4}";
  Fixture it;
  it.answers = {
      Answer(200, R"({"items":[{"key":"a","value":"MQ==","offset":3},)" + odd +
                      R"(],"has_more":true,"end":9})"),
      Answer(200, R"({"items":[)" + odd + R"(],"has_more":true,"end":9})"),
      Answer(200, R"({"items":[{"key":"c","value":"Mg==","offset":6}],
                      "has_more":false,"end":9})")};
  const auto page = it.ReadNewest();
  REQUIRE(page.ok());
  CHECK(page->records.size() == 2);
  CHECK(page->unreadable == std::vector<platform::Offset>{4});
  CHECK(it.requests == std::vector<std::string>{
                           "GET /log-newest?topic=t&part=0",
                           "GET /log-newest?topic=t&part=0&after=a",
                           "GET /log-newest?topic=t&part=0&after=b%EF%BF%BD"});
}

TEST_CASE("a store that repeats a page is not read for ever") {
  Fixture it;
  const std::string page =
      Answer(200, R"({"items":[{"key":"","value":"MQ==","offset":3}],
               "has_more":true,"end":5})");
  it.answers = std::vector<std::string>(3, page);
  CHECK(core::CodeOf(it.ReadNewest().status()) ==
        ResultCode::kPlatformUnavailable);
  CHECK(it.requests.size() == 2);
}

TEST_CASE("records with keys of any bytes are read from an offset") {
  const std::string key("\xff\0\r\n\"", 5);
  Fixture it;
  it.answers = {Answer(
      200, Bytes(8, 8) + Bytes(2, 8) + Record(key, "x") + Record("", "y"))};
  const auto page = it.ReadFrom(6);
  REQUIRE(page.ok());
  CHECK(page->records ==
        std::vector<KeyedRecord>{{.key = key, .value = "x", .offset = 6},
                                 {.key = "", .value = "y", .offset = 7}});
}

TEST_CASE("records read from an offset carry their offsets") {
  Fixture it;
  it.answers = {Answer(200, Bytes(9, 8) + Bytes(2, 8) + Record("a", "xyz") +
                                Record("b", "") + Bytes(2, 4) + "\x09z")};
  const auto page = it.ReadFrom(6);
  REQUIRE(page.ok());
  // The third record is malformed, but still takes up an offset.
  CHECK(page->next == 9);
  CHECK(page->unreadable == std::vector<platform::Offset>{8});
  CHECK(page->records == std::vector<KeyedRecord>{
                             {.key = "a", .value = "xyz", .offset = 6},
                             {.key = "b", .value = std::nullopt, .offset = 7}});
  CHECK(it.requests.front() ==
        "GET /log-read?topic=t&part=0&from=6&wait_ms=500");
}

struct CutCase {
  const char* what;
  // Bytes of the records that arrive before the connection ends.
  size_t bytes;
  bool is_ok;
  platform::Offset next;
  bool lacks_newer_records;
};

TEST_CASE("a response that ends with its connection may lack records") {
  const std::string records = Record("a", "xyz") + Record("b", "z");
  const size_t first = Record("a", "xyz").size();
  const CutCase cases[] = {
      {"whole", records.size(), true, 8, false},
      {"inside the second record", first + 3, true, 7, true},
      {"after the first record", first, true, 7, true},
      {"inside the first record", first - 1, false, 0, false},
      {"inside the first length", 3, false, 0, false},
      {"before the first record", 0, false, 0, false},
  };
  for (const CutCase& row : cases) {
    INFO(row.what);
    Fixture it;
    it.server.SetAnswer({}, true);
    it.answers = {"HTTP/1.1 200 X\r\n\r\n" + Bytes(8, 8) + Bytes(2, 8) +
                  records.substr(0, row.bytes)};
    const auto page = it.ReadFrom(6);
    REQUIRE(page.ok() == row.is_ok);
    if (page.ok()) {
      CHECK(page->next == row.next);
      CHECK(page->lacks_newer_records == row.lacks_newer_records);
    }
  }
}

TEST_CASE("a list of newest records that ends with its connection is whole") {
  const std::string list =
      R"({"items":[{"key":"a","value":"MQ==","offset":3}],"end":5})";
  for (const size_t missing : {size_t{0}, size_t{1}, size_t{9}, list.size()}) {
    INFO(missing);
    Fixture it;
    it.server.SetAnswer({}, true);
    it.answers = {"HTTP/1.1 200 X\r\n\r\n" +
                  list.substr(0, list.size() - missing)};
    CHECK(it.ReadNewest().ok() == (missing == 0));
  }
}

struct EpochCase {
  const char* what;
  std::string fields;
  platform::LogEpoch epoch;
  bool is_logged;
};

TEST_CASE("a response states the history of the store") {
  const EpochCase cases[] = {
      {"a number", "Store-Era: 7\r\n", 7, false},
      {"absent", "", 0, false},
      {"a negative number", "Store-Era: -1\r\n", 0, true},
      {"a fraction", "Store-Era: 1.5\r\n", 0, true},
      {"no number", "Store-Era: x\r\n", 0, true},
      {"too large", "Store-Era: 99999999999999999999\r\n", 0, true},
  };
  for (const EpochCase& row : cases) {
    INFO(row.what);
    Fixture it;
    const std::string tail = Answer(200, Bytes(4, 8) + Bytes(0, 8), row.fields);
    it.answers = {tail, tail,
                  Answer(200, R"({"items":[],"end":4})", row.fields)};
    CHECK(it.ReadFrom(4)->epoch == row.epoch);
    CHECK(it.ReadFrom(4)->epoch == row.epoch);
    CHECK(it.ReadNewest()->epoch == row.epoch);
    // An invalid value is logged once.
    CHECK(it.events.Since(0).size() == (row.is_logged ? 1 : 0));
  }
}

TEST_CASE("pages of two histories are not joined") {
  Fixture it;
  const std::string first =
      R"({"items":[{"key":"a","value":"MQ==","offset":3}],
          "has_more":true,"end":5})";
  it.answers = {Answer(200, first, "Store-Era: 1\r\n"),
                Answer(200, R"({"items":[],"end":2})", "Store-Era: 2\r\n")};
  CHECK(core::CodeOf(it.ReadNewest().status()) ==
        ResultCode::kPlatformUnavailable);
}

struct ErrorCase {
  const char* what;
  std::string answer;
  ResultCode code;
};

TEST_CASE("failed responses of the store are errors, not empty pages") {
  const ErrorCase cases[] = {
      {"unavailable", Answer(503, ""), ResultCode::kPlatformUnavailable},
      {"too many requests", Answer(429, "{}"),
       ResultCode::kPlatformUnavailable},
      {"records deleted", Answer(410, R"({"first":9})"),
       ResultCode::kRecordsTruncated},
      {"short body", Answer(200, "abc"), ResultCode::kPlatformUnavailable},
  };
  for (const ErrorCase& row : cases) {
    INFO(row.what);
    Fixture it;
    it.answers = {row.answer, row.answer};
    CHECK(core::CodeOf(it.ReadFrom(0).status()) == row.code);
    CHECK_FALSE(it.ReadNewest().ok());
  }
}

TEST_CASE("a store that does not accept connections is unavailable") {
  Fixture it;
  it.server.StopListening();
  CHECK(core::CodeOf(it.ReadFrom(0).status()) ==
        ResultCode::kPlatformUnavailable);
}

TEST_CASE("a log that went backwards is visible by its end offset") {
  Fixture it;
  it.answers = {Answer(200, Bytes(4, 8) + Bytes(0, 8))};
  const auto page = it.ReadFrom(6);
  REQUIRE(page.ok());
  CHECK(page->next == 4);
}

// Guards against a store whose pages have no end.
TEST_CASE("a topic of pages without end is unavailable") {
  constexpr size_t kMaxPages = 40;
  Fixture it;
  it.server.SetResponder([&it](const std::string& /*request*/) {
    it.requests.emplace_back();
    return Answer(200,
                  fmt::format(R"({{"items":[{{"key":"k{}","value":"{}",)"
                              R"("offset":3}}],"has_more":true,"end":5}})",
                              it.requests.size(), std::string(1'000'000, 'A')));
  });
  CHECK(core::CodeOf(it.ReadNewest().status()) ==
        ResultCode::kPlatformUnavailable);
  CHECK(it.requests.size() < kMaxPages);
}

// Guards against a write whose confirmation broke off in its head.
TEST_CASE("a write is confirmed only by a whole response") {
  Fixture it;
  it.server.SetAnswer("HTTP/1.1 200 X\r\nStore-Era: 4\r\n", true);
  it.server.SetResponder(nullptr);
  absl::StatusOr<platform::LogEpoch> result = absl::UnknownError("no answer");
  it.store.Put("t", "key", "value",
               [&](const absl::StatusOr<platform::LogEpoch>& written) {
                 result = written;
                 it.loop.Stop();
               });
  it.loop.Run();
  CHECK(core::CodeOf(result.status()) == ResultCode::kAppendUncertain);
}

TEST_CASE("a record is written with its key") {
  Fixture it;
  std::string body;
  it.server.SetResponder([&body](const std::string& request) {
    body = request.substr(request.find("\r\n\r\n") + 4);
    return Answer(200, R"({"offset":0,"end":1})", "Store-Era: 4\r\n");
  });
  absl::StatusOr<platform::LogEpoch> result = absl::UnknownError("no answer");
  it.store.Put("t", "key", "value",
               [&](const absl::StatusOr<platform::LogEpoch>& written) {
                 result = written;
                 it.loop.Stop();
               });
  it.loop.Run();
  REQUIRE(result.ok());
  CHECK(*result == 4);
  CHECK(body == Record("key", "value"));
}

TEST_CASE("a discovery request carries the caller's data centre") {
  http::InboundRequest request;
  request.method = "GET";
  request.target = "/resolve?name=a.test&region=r&zone=z1";
  const auto question = DiscoveryCodec().DecodeQuery(request);
  REQUIRE(question.ok());
  CHECK(question->data_centre.value() == "z1");
  request.target = "/other";
  CHECK_FALSE(DiscoveryCodec().DecodeQuery(request).ok());
  const http::Answer answer = DiscoveryCodec().EncodeAddresses(
      {*core::SocketAddress::Parse("10.0.0.1:80")}, core::seconds(2));
  CHECK(answer.body == R"({"addresses":["10.0.0.1:80"],"ttl_s":2.0})");
}

TEST_CASE("a malformed head is no answer of the store") {
  for (const char* framing : {"Content-Length: 2", "Connection: close"}) {
    for (const auto& head : support::MalformedHeads("X-Id: 1", framing)) {
      INFO(head.what << ", " << framing);
      Fixture it;
      it.answers.assign(3, head.text + "{}");
      CHECK_FALSE(it.ReadNewest().ok());
      CHECK_FALSE(it.ReadFrom(0).ok());
      bool is_written = true;
      it.store.Put("t", "k", "v",
                   [&](const absl::StatusOr<platform::LogEpoch>& epoch) {
                     is_written = epoch.ok();
                     it.loop.Stop();
                   });
      it.loop.Run();
      CHECK_FALSE(is_written);
    }
  }
}

}  // namespace
}  // namespace wasabi::adapter
