// Regression test: bytes without end, from many endpoints, callers or the store
// at once, must not fill the memory of a host, whose platform would kill it.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/text.h"
#include "LibHttp/tcp_stream.h"
#include "Tests/Support/Fleet/child_process.h"
#include "Tests/Support/PlatformStore/store_server.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi {
namespace {

constexpr size_t kConnections = 1000;
// What the smallest hosts of the deployments have.
constexpr double kHostMegabytes = 160;
// Bytes go on coming for this long.
constexpr core::Duration kTroubleTime = core::milliseconds(2500);
constexpr core::Duration kStartTime = core::seconds(15);

constexpr const char* kConfiguration = R"({"version":1,"routes":[
  {"name":"unsafe","hostname":"a.test","path_prefix":"/unsafe/",
   "kind":"unsafe","timeout_ms":20000,"target_latency_ms":9000,"attempts":1,
   "service":"p"},
  {"name":"once","hostname":"a.test","path_prefix":"/once/",
   "kind":"streaming","resumable":false,"timeout_ms":20000,
   "target_latency_ms":9000,"attempts":1,"service":"p","gap_aim_ms":300}],
 "services":[{"name":"p"}],"tenants":[{"name":"t1","api_keys":["k1"]}]})";

struct FloodCase {
  const char* what;
  const char* target;
  // What an endpoint sends first, and then again and again.
  std::string answer;
  std::string piece;
  // What a caller sends again and again after its head; "" for no body.
  std::string upload = {};
  bool reads = true;
};

// A router process with a store, two endpoints and callers on loopback.
class RouterUnderTest {
 public:
  explicit RouterUnderTest(const FloodCase& row)
      : row_(row),
        first_(&loop_, support::FreeAddress(support::LoopbackIp(10))),
        second_(&loop_, support::FreeAddress(support::LoopbackIp(11))) {
    store_ = *support::StoreServer::Create(
        &loop_, support::FreeAddress(support::LoopbackIp(12)), &log_, 1);
    callers_address_ = support::FreeAddress(support::LoopbackIp(13));
    ready_address_ = support::FreeAddress(support::LoopbackIp(13));
    for (support::RawServer* it : {&first_, &second_}) {
      it->SetAnswer(row.answer, false);
      log_.Append("keyed.servers", it == &first_ ? "e1" : "e2",
                  fmt::format(R"({{"service":"p","address":"{}","zone":"z1",)"
                              R"("version":"v1","slots":2000,"state":"ready",)"
                              R"("cold_left_ms":0,"seq":1,"born":1}})",
                              it->address().ToString()));
    }
    log_.Append("keyed.op", "config", kConfiguration);
    Start();
  }

  // Runs the loop until `is_done`, or for `duration`. Returns whether it is
  // done.
  template <typename Condition>
  bool RunUntil(core::Duration duration, Condition is_done) {
    const core::TimePoint end = loop_.Now() + duration;
    while (!is_done() && loop_.Now() < end) {
      const auto timer = loop_.NewTimer([this]() { loop_.Stop(); });
      timer->StartOnce(core::milliseconds(5));
      loop_.Run();
    }
    return is_done();
  }

  bool IsReady() {
    std::string received;
    const auto stream = *http::TcpStream::Connect(&loop_, ready_address_);
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [&](std::string_view bytes) { received.append(bytes); };
    stream->Start(std::move(callbacks));
    stream->Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    RunUntil(core::milliseconds(200),
             [&]() { return received.find("\r\n") != std::string::npos; });
    stream->Close();
    return received.starts_with("HTTP/1.1 200");
  }

  // Lets all callers ask at once while bytes come without end.
  void Flood() {
    for (size_t i = 0; i < kConnections; ++i) {
      Ask(i);
    }
    const auto timer = loop_.NewTimer([this]() { WritePieces(); });
    timer->StartRepeating(core::milliseconds(20));
    RunUntil(kTroubleTime, []() { return false; });
  }

  // Returns the most memory that the process has taken; 0 if it has ended.
  double PeakMegabytes() {
    constexpr std::string_view kField = "VmHWM:";
    constexpr double kKilobytes = 1024;
    std::ifstream file(fmt::format("/proc/{}/status", process_->pid()));
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(kField)) {
        return std::stod(line.substr(kField.size())) * kKilobytes / 1e6;
      }
    }
    return 0;
  }
  size_t requests() const {
    return static_cast<size_t>(first_.requests()) +
           static_cast<size_t>(second_.requests());
  }

 private:
  void Start() {
    const std::string path =
        fmt::format("{}/process_memory.{}.ini", WASABI_WORK, getpid());
    std::ofstream file(path);
    const auto free = []() {
      return support::FreeAddress(support::LoopbackIp(13)).ToString();
    };
    file << fmt::format(
        "[interface]\nadapter = platform\n[host]\nid = h1\ndata_centre = z1\n"
        "first_start = true\n[listen]\ncallers = {}\nready = {}\n"
        "discovery = {}\ngossip = {}\ninternal = {}\n[platform]\n"
        "address = {}\n[placement]\nload_bound = 100\n",
        callers_address_.ToString(), ready_address_.ToString(), free(), free(),
        free(), store_->address().ToString());
    file.close();
    process_ = *support::ChildProcess::Start(
        {WASABI_ROUTER, "--settings=" + path}, path + ".log");
    REQUIRE(RunUntil(kStartTime, [this]() { return IsReady(); }));
  }

  void Ask(size_t number) {
    auto stream = *http::TcpStream::Connect(&loop_, callers_address_);
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [](std::string_view /*bytes*/) {};
    callbacks.on_end = [weak = std::weak_ptr(stream)](auto /*end*/) {
      if (const auto it = weak.lock()) {
        it->Close();
      }
    };
    stream->Start(std::move(callbacks));
    stream->Write(
        fmt::format("POST {}{} HTTP/1.1\r\nHost: a.test\r\nRequest-Id: id1\r\n"
                    "Authorization: Bearer k1\r\nDeadline-Ms: 15000\r\n"
                    "Content-Length: {}\r\n\r\n",
                    row_.target, number, row_.upload.empty() ? 0 : 4'000'000));
    stream->SetReading(row_.reads);
    callers_.push_back(std::move(stream));
  }

  void WritePieces() {
    for (support::RawServer* it : {&first_, &second_}) {
      if (it->requests() > 0 && !row_.piece.empty()) {
        it->WriteToAll(row_.piece);
      }
    }
    constexpr size_t kMaxUnsent = 1U << 20U;
    for (const auto& it : callers_) {
      if (!row_.upload.empty() && it->unsent_bytes() < kMaxUnsent) {
        it->Write(row_.upload);
      }
    }
  }

  const FloodCase& row_;
  core::EventLoop loop_;
  support::WatchedLog log_;
  support::RawServer first_;
  support::RawServer second_;
  std::unique_ptr<support::StoreServer> store_;
  core::SocketAddress callers_address_;
  core::SocketAddress ready_address_;
  std::unique_ptr<support::ChildProcess> process_;
  std::vector<std::shared_ptr<http::TcpStream>> callers_;
};

std::vector<FloodCase> Cases() {
  const std::string signature = "Request-Id: id1\r\nResponse-Signature: s\r\n";
  const std::string ok = "HTTP/1.1 200 X\r\n" + signature;
  const std::string kilobyte(1000, 'x');
  const std::string much(200'000, 'x');
  const std::string field = "X: " + kilobyte + "\r\n";
  std::string fields;
  for (int i = 0; i < 60; ++i) {
    fields += field;
  }
  return {
      {"heads", "/unsafe/", ok + fields, "X: y\r\n"},
      {"heads that end", "/unsafe/",
       ok + fields + "Transfer-Encoding: chunked\r\n\r\n1\r\n", "a"},
      {"interim heads", "/unsafe/",
       "HTTP/1.1 103 X\r\n" + fields + "\r\nHTTP/1.1 103 X\r\n" + fields,
       "X: y\r\n"},
      {"a chunk's extension", "/unsafe/",
       ok + "Transfer-Encoding: chunked\r\n\r\n1;x=" + much.substr(0, 60'000),
       "x"},
      {"streams without events", "/once/", ok + "\r\n" + much, "x"},
      {"comments in streams", "/once/", ok + "\r\n: " + much, "x"},
      {"failures", "/unsafe/", "HTTP/1.1 500 X\r\n" + signature + "\r\n" + much,
       "x"},
      {"answers with a length", "/unsafe/",
       ok + "Content-Length: 9000000\r\n\r\n" + much, "x"},
      {"unframed answers to callers that do not read", "/unsafe/",
       ok + "\r\n" + much, much, "", false},
      {"bodies of requests", "/unsafe/", "", "", much},
  };
}

TEST_CASE("bytes without end do not fill the memory of a host") {
  for (const FloodCase& row : Cases()) {
    INFO(row.what);
    RouterUnderTest it(row);
    const double before = it.PeakMegabytes();
    it.Flood();
    const double peak = it.PeakMegabytes();
    INFO("peak MB " << peak << ", before " << before << ", requests "
                    << it.requests());
    CHECK(peak > before);
    CHECK(peak < kHostMegabytes);
    CHECK(it.IsReady());
  }
}

}  // namespace
}  // namespace wasabi
