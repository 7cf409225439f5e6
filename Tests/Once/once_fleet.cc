#include "Tests/Once/once_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/text.h"
#include "Tests/Support/free_address.h"
#include "platform/adapters.h"
#include "platform/configuration_codec.h"
#include "platform/wire_names.h"

namespace wasabi::once {

namespace {

using nlohmann::json;

constexpr const char* kPlainPool = "plain";
constexpr const char* kModelPool = "models";
constexpr core::Duration kPollPeriod = core::milliseconds(10);
constexpr core::Duration kDisturbPeriod = core::milliseconds(50);
constexpr core::Duration kHeartbeatPeriod = core::milliseconds(1000);
constexpr core::Duration kRestartDelay = core::milliseconds(200);
constexpr core::Duration kStartTime = core::seconds(20);
constexpr core::Duration kStartTimePerHost = core::milliseconds(300);
constexpr core::Duration kDrainTime = core::seconds(8);
constexpr core::Duration kDeadline = core::milliseconds(1500);
constexpr core::Duration kStreamDeadline = core::milliseconds(6000);
constexpr core::Duration kMaxLeaveTime = core::milliseconds(300);
constexpr core::Duration kMetricsTime = core::milliseconds(300);
constexpr int kOk = 200;
// When the first endpoints started, in milliseconds since 1970.
constexpr int64_t kStarted = 1790000000000;
// Offset of the port on which a host tells its metrics.
constexpr uint16_t kInternalOffset = 4;
// First loopback IP numbers of the store, the endpoints and the links; hosts
// have the numbers below.
constexpr uint32_t kStoreIp = 99;
constexpr uint32_t kFirstEndpointIp = 100;
constexpr uint32_t kFirstLinkIp = 150;
// Links are made for the ids of endpoints that were renewed less often.
constexpr size_t kMaxRenewals = 40;

struct KindTraits {
  const char* path;
  const char* method;
  const char* pool;
};

const KindTraits& TraitsOf(RequestKind kind) {
  static constexpr std::array<KindTraits,
                              static_cast<size_t>(RequestKind::kCount)>
      kTraits = {{{"unsafe", "POST", kPlainPool},
                  {"safe", "GET", kPlainPool},
                  {"once", "POST", kModelPool},
                  {"stream", "POST", kModelPool}}};
  return kTraits.at(static_cast<size_t>(kind));
}

json RouteOf(RequestKind kind) {
  const KindTraits& traits = TraitsOf(kind);
  json route = {{"name", traits.path},
                {"hostname", "once.test"},
                {"path_prefix", fmt::format("/{}/", traits.path)},
                {"kind", kind == RequestKind::kSafe ? "safe" : "unsafe"},
                {"timeout_ms", 1500},
                {"target_latency_ms", 100},
                {"attempts", MayRunOnce(kind) ? 1 : 3},
                {"priority", 1},
                {"service", traits.pool}};
  if (IsStream(kind)) {
    route["kind"] = "streaming";
    route["timeout_ms"] = 6000;
    route["target_latency_ms"] = 400;
    route["sticky"] = true;
    route["resumable"] = kind == RequestKind::kResumableStream;
    route["gap_aim_ms"] = 300;
  }
  return route;
}

// Returns the id of the endpoint with number `index` after some renewals.
std::string EndpointId(size_t index, size_t renewals) {
  return renewals == 0 ? fmt::format("e{}", index)
                       : fmt::format("e{}n{}", index, renewals);
}

// Returns when an endpoint says that it has started which starts after `n`
// others: later than these, unknown, or before them, as clocks may be wrong. So
// hosts can't always tell by it which of two entries is stale.
int64_t BornAfter(size_t n) {
  const auto later = static_cast<int64_t>(1000 * (n + 1));
  switch (n % 3) {
    case 0:
      return kStarted + later;
    case 1:
      return 0;
    default:
      return kStarted - later;
  }
}

// Returns the value of the environment variable `name`, or `otherwise`.
std::string Environment(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}

}  // namespace

struct OnceFleet::Host {
  size_t index = 0;
  std::string ip;
  uint16_t port = 0;
  std::string settings_path;
  std::string log_path;
  std::unique_ptr<support::ChildProcess> process;
  core::TimePoint start_at{};

  core::SocketAddress At(uint16_t offset) const {
    return *core::SocketAddress::Parse(fmt::format("{}:{}", ip, port + offset));
  }
};

struct OnceFleet::Link {
  support::LinkFaults faults{1};
  std::unique_ptr<support::TcpRelay> relay;
};

OnceFleet::OnceFleet(const FleetOptions& options)
    : options_(options),
      random_(options.seed),
      folder_(fmt::format("{}/wasabi-once-{}",
                          std::filesystem::temp_directory_path().string(),
                          getpid())),
      client_(&loop_) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  auto store = support::StoreServer::Create(
      &loop_, support::FreeAddress(support::LoopbackIp(kStoreIp)), &log_, 1);
  if (!store.ok()) {
    std::abort();
  }
  store_ = *std::move(store);
  AddEndpoints();
  if (options_.has_links) {
    AddLinks();
  }
  WriteConfiguration();
  WriteRegistrations();
  for (size_t i = 0; i < options_.hosts; ++i) {
    AddHost(i);
  }
  poll_timer_ = loop_.NewTimer([this]() { PollHosts(); });
  poll_timer_->StartRepeating(kPollPeriod);
  const core::TimePoint end =
      loop_.Now() + kStartTime +
      static_cast<int64_t>(options_.hosts) * kStartTimePerHost;
  // All hosts have to know each other, and the endpoints.
  while (served() < options_.hosts * 8) {
    if (loop_.Now() > end) {
      std::cerr << "the hosts don't serve\n";
      std::abort();
    }
    for (size_t i = 0; i < options_.hosts; ++i) {
      auto call = std::make_shared<Call>();
      call->id = core::RequestId(fmt::format("{:x}", random_.Next()));
      call->kind = RequestKind::kSafe;
      call->host = i;
      Send(call, true);
    }
    RunFor(core::milliseconds(150));
  }
  record_.calls.clear();
  record_.works.clear();
}

OnceFleet::~OnceFleet() {
  poll_timer_.reset();
  for (const auto& it : hosts_) {
    if (it->process != nullptr) {
      it->process->Signal(SIGCONT);
    }
    it->process.reset();
  }
  if (Environment("WASABI_ONCE_KEEP", "").empty()) {
    std::filesystem::remove_all(folder_);
  }
}

void OnceFleet::AddEndpoints() {
  for (size_t i = 0; i < 2 * options_.endpoints; ++i) {
    const auto n = static_cast<uint32_t>(i);
    entries_.push_back(
        {.id = EndpointId(i, 0),
         .pool = i < options_.endpoints ? kPlainPool : kModelPool,
         .address =
             support::FreeAddress(support::LoopbackIp(kFirstEndpointIp + n)),
         .born = kStarted + static_cast<int64_t>(i)});
    endpoints_.emplace_back();
    Listen(i);
  }
}

void OnceFleet::Listen(size_t index) {
  const Entry& entry = entries_[index];
  endpoints_[index] = std::make_unique<OnceEndpoint>(
      &loop_, entry.id, entry.address, &record_,
      options_.seed * 100 + index + 1000 * entry.renewals);
  endpoints_[index]->SetBehaviour(behaviour_);
}

void OnceFleet::Renew(size_t endpoint, Renewal renewal) {
  Entry& entry = entries_[endpoint];
  const std::string old_id = entry.id;
  endpoints_[endpoint]->CloseAll(renewals_++ % 2 == 0);
  endpoints_[endpoint].reset();
  ++entry.renewals;
  entry.born = kStarted + static_cast<int64_t>(1000 * renewals_);
  if (renewal != Renewal::kSameId) {
    entry.id = EndpointId(endpoint, entry.renewals);
    entry.born = BornAfter(renewals_);
  }
  if (renewal == Renewal::kOtherIdAndPool) {
    entry.pool = entry.pool == kPlainPool ? kModelPool : kPlainPool;
  }
  Listen(endpoint);
  WriteRegistration(entry);
  if (renewal == Renewal::kSameId) {
    return;
  }
  CallAfter(options_.entry_time, [this, old_id]() {
    log_.Append(adapter::kRegistrationTopic, old_id, std::nullopt);
  });
}

void OnceFleet::AddSecondEntry(size_t endpoint) {
  Entry entry = entries_[endpoint];
  entry.id += "b";
  entry.born = BornAfter(endpoint);
  WriteRegistration(entry);
  entries_.push_back(entry);
}

void OnceFleet::AddLinks() {
  std::ofstream file(folder_ + "/links");
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    const auto n = static_cast<uint32_t>(i);
    auto link = std::make_unique<Link>();
    const core::SocketAddress address =
        support::FreeAddress(support::LoopbackIp(kFirstLinkIp + n));
    auto relay = support::TcpRelay::Create(
        &loop_, address, endpoints_[i]->address(), &link->faults);
    if (!relay.ok()) {
      std::abort();
    }
    link->relay = *std::move(relay);
    for (size_t k = 0; k < kMaxRenewals; ++k) {
      file << EndpointId(i, k) << " " << address.ToString() << "\n";
    }
    links_.push_back(std::move(link));
  }
}

void OnceFleet::WriteConfiguration() {
  json routes = json::array();
  for (size_t i = 0; i < static_cast<size_t>(RequestKind::kCount); ++i) {
    routes.push_back(RouteOf(static_cast<RequestKind>(i)));
  }
  const json configuration = {
      {"version", 7},
      {"routes", routes},
      {"services",
       {{{"name", kModelPool}, {"max_conns", 500}},
        {{"name", kPlainPool}, {"max_conns", 500}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 1 << 20},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "t1"}, {"api_keys", {"key-1"}}}}}};
  log_.Append(adapter::kConfigurationTopic, adapter::kConfigurationKey,
              configuration.dump());
}

void OnceFleet::WriteRegistrations() {
  registered_at_ = loop_.Now();
  for (const Entry& it : entries_) {
    WriteRegistration(it);
  }
}

void OnceFleet::WriteRegistration(const Entry& entry) {
  const json value = {{"service", entry.pool},
                      {"address", entry.address.ToString()},
                      {"zone", "z0"},
                      {"version", "v1"},
                      {"slots", options_.slots},
                      {"state", "ready"},
                      {"cold_left_ms", 0},
                      {"seq", ++sequence_},
                      {"born", entry.born}};
  log_.Append(adapter::kRegistrationTopic, entry.id, value.dump());
}

void OnceFleet::AddHost(size_t index) {
  auto host = std::make_unique<Host>();
  host->index = index;
  host->ip = support::LoopbackIp(static_cast<uint32_t>(index));
  host->port = support::FreeAddress(host->ip).port();
  host->settings_path = fmt::format("{}/host-{}.ini", folder_, index);
  host->log_path = fmt::format("{}/host-{}.log", folder_, index);
  std::ofstream(host->settings_path) << fmt::format(
      "[interface]\nadapter = platform\n[host]\nid = h{}\ndata_centre = z0\n"
      "[listen]\ncallers = {}\nready = {}\ndiscovery = {}\ngossip = {}\n"
      "internal = {}\n[platform]\naddress = {}\n[bounds]\nleaving_ms = 2000\n"
      "configuration_ms = 2000\nshutdown_grace_s = 8\naddress_lifetime_s = 5\n"
      "[retries]\nratio = 0.2\nwindow_s = 10\nslack = 400\n[placement]\n"
      "load_bound = 2\n{}",
      index, host->At(0).ToString(), host->At(1).ToString(),
      host->At(2).ToString(), host->At(3).ToString(),
      host->At(kInternalOffset).ToString(), store_->address().ToString(),
      options_.load_control_enabled ? "[load_control]\nenabled = true\n" : "");
  StartHost(host.get());
  hosts_.push_back(std::move(host));
}

void OnceFleet::StartHost(Host* host) {
  const std::string first =
      Environment("WASABI_ONCE_ROUTER", WASABI_ROUTER_PATH);
  // Every second host may run another build.
  const std::string router =
      host->index % 2 == 0 ? first
                           : Environment("WASABI_ONCE_OTHER_ROUTER", first);
  std::vector<std::string> command = {router,
                                      "--settings=" + host->settings_path};
  if (options_.has_links && host->index == 0) {
    command = {WASABI_LINKED_ROUTER_PATH, "--settings=" + host->settings_path,
               "--links=" + folder_ + "/links"};
  }
  auto process = support::ChildProcess::Start(command, host->log_path);
  if (!process.ok()) {
    std::abort();
  }
  host->process = *std::move(process);
}

void OnceFleet::PollHosts() {
  const core::TimePoint now = loop_.Now();
  client_.Expire(now);
  if (now - registered_at_ > kHeartbeatPeriod) {
    WriteRegistrations();
  }
  for (const auto& it : hosts_) {
    if (it->process != nullptr && it->process->Poll()) {
      it->process.reset();
      it->start_at = now + kRestartDelay;
    }
    if (it->process == nullptr && now >= it->start_at) {
      StartHost(it.get());
    }
  }
}

void OnceFleet::SetBehaviour(const Behaviour& behaviour) {
  behaviour_ = behaviour;
  for (const auto& it : endpoints_) {
    it->SetBehaviour(behaviour);
  }
}

size_t OnceFleet::served() const {
  return static_cast<size_t>(std::count_if(
      record_.calls.begin(), record_.calls.end(), [](const auto& it) {
        return it->status == kOk && it->end == http::OriginOutcome::kComplete;
      }));
}

void OnceFleet::CallAfter(core::Duration delay, std::function<void()> task) {
  timers_.push_back(loop_.NewTimer(std::move(task)));
  timers_.back()->StartOnce(delay);
}

void OnceFleet::RunFor(core::Duration time) {
  const auto timer = loop_.NewTimer([this]() { loop_.Stop(); });
  timer->StartOnce(time);
  loop_.Run();
}

void OnceFleet::SendFor(core::Duration time,
                        const std::function<void()>& disturb) {
  const core::TimePoint end = loop_.Now() + time;
  const auto send_timer = loop_.NewTimer([this]() { SendCall(); });
  send_timer->StartRepeating(
      core::FromSeconds(1 / options_.requests_per_second));
  while (loop_.Now() < end) {
    RunFor(kDisturbPeriod);
    if (disturb) {
      disturb();
    }
  }
}

void OnceFleet::Drain() {
  const core::TimePoint end = loop_.Now() + kDrainTime;
  const auto is_open = [this]() {
    return std::any_of(record_.calls.begin(), record_.calls.end(),
                       [](const auto& it) { return !it->end; }) ||
           std::any_of(record_.works.begin(), record_.works.end(),
                       [](const auto& it) { return !it->ended_at; });
  };
  while (loop_.Now() < end && is_open()) {
    RunFor(kDisturbPeriod);
  }
  // What is promised never to run doesn't run later either.
  RunFor(core::milliseconds(500));
}

void OnceFleet::SendCall() {
  auto call = std::make_shared<Call>();
  call->id = core::RequestId(fmt::format("{:x}", random_.Next()));
  call->kind = static_cast<RequestKind>(random_.Below(options_.kinds));
  call->host = random_.Below(hosts_.size());
  Send(call, false);
}

void OnceFleet::Send(const std::shared_ptr<Call>& call, bool is_probe) {
  call->sent_at = loop_.Now();
  record_.calls.push_back(call);
  const KindTraits& traits = TraitsOf(call->kind);
  const core::Duration deadline =
      IsStream(call->kind) ? kStreamDeadline : kDeadline;
  http::OriginRequest request;
  request.address = hosts_[call->host]->At(0);
  request.method = traits.method;
  request.target = fmt::format("/{}/{}", traits.path, call->id.value());
  if (request.method == std::string("POST")) {
    request.body = "body of " + call->id.value();
    request.body.resize(std::max(request.body.size(), options_.body_bytes),
                        'x');
  }
  request.connect_timeout = core::seconds(1);
  request.max_idle = core::seconds(5);
  request.headers = {
      {"Host", "once.test"},
      {std::string(adapter::kRequestIdHeader), call->id.value()},
      {std::string(adapter::kDeadlineHeader),
       std::to_string(core::ToMilliseconds(deadline))},
      {std::string(adapter::kAuthorizationHeader), "Bearer key-1"}};
  if (IsStream(call->kind)) {
    request.headers.Add(std::string(adapter::kPromptPartsHeader),
                        call->id.value() + ":100");
    request.headers.Add(std::string(adapter::kTokenLimitsHeader), "100,60");
    request.headers.Add("Model", "m");
  }
  http::OriginCallbacks callbacks;
  callbacks.on_head = [call](const http::AnswerHead& head) {
    call->status = head.status();
  };
  callbacks.on_body = [](std::string_view /*piece*/) {};
  callbacks.on_end = [this, call](http::OriginOutcome end) {
    call->end = end;
    call->ended_at = loop_.Now();
  };
  const auto origin = client_.Send(request, std::move(callbacks));
  const auto leave = [this, call, origin]() {
    if (!call->end) {
      call->has_left = true;
      call->end = http::OriginOutcome::kCut;
      call->ended_at = loop_.Now();
      origin->Cancel();
    }
  };
  const bool leaves_early =
      !is_probe && random_.Unit() < options_.leaving_share;
  CallAfter(leaves_early ? core::FromSeconds(core::ToSeconds(kMaxLeaveTime) *
                                             random_.Unit())
                         : deadline + core::milliseconds(300),
            leave);
}

uint64_t OnceFleet::SumOfCounter(const std::string& name) {
  std::vector<std::string> texts(hosts_.size(), "\n");
  for (size_t i = 0; i < hosts_.size(); ++i) {
    http::OriginRequest request;
    request.address = hosts_[i]->At(kInternalOffset);
    request.method = "GET";
    request.target = "/metrics";
    request.headers = {{"Host", "once.test"}};
    http::OriginCallbacks callbacks;
    callbacks.on_body = [text = &texts[i]](std::string_view piece) {
      text->append(piece);
    };
    client_.Send(request, std::move(callbacks));
  }
  RunFor(kMetricsTime);
  uint64_t sum = 0;
  for (const std::string& it : texts) {
    const size_t line = it.find("\n" + name + " ");
    if (line != std::string::npos) {
      sum += std::strtoull(it.c_str() + line + name.size() + 2, nullptr, 10);
    }
  }
  return sum;
}

void OnceFleet::Signal(size_t host, int number) {
  if (hosts_[host]->process != nullptr) {
    hosts_[host]->process->Signal(number);
  }
}

void OnceFleet::StandStill(size_t host, core::Duration time) {
  Signal(host, SIGSTOP);
  CallAfter(time, [this, host]() { Signal(host, SIGCONT); });
}

void OnceFleet::CutFirstHost() {
  for (const auto& it : links_) {
    it->relay->RefuseConnections();
    it->relay->ResetAll();
  }
}

}  // namespace wasabi::once
