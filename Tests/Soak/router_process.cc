#include "Tests/Soak/router_process.h"

#include <csignal>
#include <fstream>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/free_address.h"

namespace wasabi::soak {

namespace {

constexpr core::Duration kRestartDelay = core::milliseconds(300);
// Initial length of a disturbance whose end is not known yet.
constexpr core::Duration kUnboundedDuration = core::seconds(3600);
constexpr size_t kDataCentres = 2;
// First loopback IP numbers of the store servers and of their relays.
constexpr uint32_t kFirstStoreIp = 40;
constexpr uint32_t kFirstRelayIp = 60;

std::string IpOf(size_t host) {
  return support::LoopbackIp(static_cast<uint32_t>(host));
}

}  // namespace

HostPorts FreeHostPorts() {
  const std::string ip = IpOf(0);
  const auto port = [&ip]() { return support::FreeAddress(ip).port(); };
  return {.callers = port(),
          .ready = port(),
          .discovery = port(),
          .gossip = port(),
          .internal = port()};
}

absl::StatusOr<std::unique_ptr<RouterProcess>> RouterProcess::Create(
    core::EventLoop* loop,
    const SoakOptions& options,
    size_t index,
    const HostPorts& ports,
    support::WatchedLog* log,
    History* history) {
  std::unique_ptr<RouterProcess> host(
      new RouterProcess(loop, options, index, ports, history));
  TRY(host->OpenStore(log));
  TRY(host->Start());
  return host;
}

RouterProcess::RouterProcess(core::EventLoop* loop,
                             const SoakOptions& options,
                             size_t index,
                             const HostPorts& ports,
                             History* history)
    : loop_(loop),
      options_(options),
      index_(index),
      ports_(ports),
      history_(history),
      store_faults_(options.seed + index) {}

absl::Status RouterProcess::OpenStore(support::WatchedLog* log) {
  const auto n = static_cast<uint32_t>(index_);
  const core::SocketAddress store =
      support::FreeAddress(support::LoopbackIp(kFirstStoreIp + n));
  const core::SocketAddress relay =
      support::FreeAddress(support::LoopbackIp(kFirstRelayIp + n));
  TRY_ASSIGN(store_, support::StoreServer::Create(loop_, store, log,
                                                  options_.seed + n));
  TRY_ASSIGN(store_relay_,
             support::TcpRelay::Create(loop_, relay, store, &store_faults_));
  store_address_ = relay;
  return WriteSettings();
}

core::SocketAddress RouterProcess::At(uint16_t port) const {
  const auto address =
      core::SocketAddress::Parse(fmt::format("{}:{}", IpOf(index_), port));
  return address.value_or(core::SocketAddress());
}

core::SocketAddress RouterProcess::callers_address() const {
  return At(ports_.callers);
}

core::SocketAddress RouterProcess::discovery_address() const {
  return At(ports_.discovery);
}

std::string RouterProcess::SettingsPath() const {
  return fmt::format("{}/host-{}.ini", options_.work_folder, index_);
}

absl::Status RouterProcess::WriteSettings() const {
  const Bounds& bounds = options_.bounds;
  std::ofstream file(SettingsPath());
  file << fmt::format(
      "[interface]\nadapter = platform\n[host]\nid = h{}\ndata_centre = z{}\n"
      "first_start = {}\n[listen]\ncallers = {}\nready = {}\ndiscovery = "
      "{}\ngossip = {}\n"
      "internal = {}\n[platform]\naddress = {}\n",
      index_, index_ % kDataCentres, !has_started_,
      At(ports_.callers).ToString(), At(ports_.ready).ToString(),
      At(ports_.discovery).ToString(), At(ports_.gossip).ToString(),
      At(ports_.internal).ToString(), store_address_.ToString());
  file << fmt::format(
      "[bounds]\nleaving_ms = {}\nconfiguration_ms = {}\n"
      "shutdown_grace_s = {}\naddress_lifetime_s = 5\n[retries]\nratio = {}\n"
      "window_s = {}\nslack = {}\n[placement]\nload_bound = 2\n",
      core::ToMilliseconds(bounds.leaving),
      core::ToMilliseconds(bounds.configuration),
      core::ToSeconds(bounds.shutdown_grace), bounds.retry_ratio,
      core::ToSeconds(bounds.retry_window), bounds.retry_slack);
  if (!file.good()) {
    return core::MakeStatus(core::ResultCode::kSettingsUnreadable,
                            "cannot write settings file " + SettingsPath());
  }
  return absl::OkStatus();
}

absl::Status RouterProcess::Start() {
  if (has_started_) {
    TRY(WriteSettings());
  }
  TRY_ASSIGN(process_,
             support::ChildProcess::Start(
                 {options_.router_binary, "--settings=" + SettingsPath()},
                 fmt::format("{}/host-{}.log", options_.work_folder, index_)));
  is_terminating_ = false;
  has_started_ = true;
  return absl::OkStatus();
}

void RouterProcess::BeginDisturbance(bool is_planned) {
  const core::TimePoint now = loop_->Now();
  disturbance_ = std::make_shared<Disturbance>(
      Disturbance{.scope = Disturbance::Scope::kHost,
                  .host = index_,
                  .is_planned = is_planned,
                  .from = now,
                  .to = now + kUnboundedDuration});
  history_->disturbances.push_back(disturbance_);
}

void RouterProcess::Stop() {
  if (process_ == nullptr || is_terminating_ || disturbance_ != nullptr) {
    return;
  }
  BeginDisturbance(true);
  is_terminating_ = true;
  kill_at_ = loop_->Now() + options_.bounds.shutdown_grace;
  process_->Signal(SIGTERM);
}

void RouterProcess::RepeatStopSignal() {
  if (process_ != nullptr && is_terminating_) {
    process_->Signal(SIGTERM);
  }
}

void RouterProcess::Kill() {
  if (process_ == nullptr) {
    return;
  }
  if (disturbance_ == nullptr || disturbance_->is_planned) {
    if (disturbance_ != nullptr) {
      disturbance_->to = loop_->Now();
    }
    BeginDisturbance(false);
  }
  is_terminating_ = true;
  resume_at_ = {};
  process_->Signal(SIGKILL);
}

void RouterProcess::Pause(core::Duration duration) {
  if (process_ == nullptr || disturbance_ != nullptr) {
    return;
  }
  BeginDisturbance(false);
  process_->Signal(SIGSTOP);
  resume_at_ = loop_->Now() + duration;
}

void RouterProcess::Reload() {
  if (process_ != nullptr && !is_terminating_) {
    process_->Signal(SIGHUP);
  }
}

void RouterProcess::Poll() {
  const core::TimePoint now = loop_->Now();
  if (process_ == nullptr) {
    if (now >= start_at_ && Start().ok() && disturbance_ != nullptr) {
      disturbance_->to = now;
      disturbance_ = nullptr;
      if (stop_again_after_) {
        stop_at_ = now + *std::exchange(stop_again_after_, std::nullopt);
      }
    }
    return;
  }
  if (resume_at_ != core::TimePoint() && now >= resume_at_) {
    process_->Signal(SIGCONT);
    resume_at_ = {};
    disturbance_->to = now;
    disturbance_ = nullptr;
  }
  if (stop_at_ != core::TimePoint() && now >= stop_at_) {
    stop_at_ = {};
    Stop();
  }
  const auto exit = process_->Poll();
  if (exit) {
    if (!is_terminating_) {
      history_->crashes.push_back(
          fmt::format("host={} {}", index_, exit->ToString()));
    }
    process_.reset();
    start_at_ = now + kRestartDelay;
    return;
  }
  if (is_terminating_ && disturbance_->is_planned && now >= kill_at_) {
    // The end of the grace period belongs to the planned stop.
    process_->Signal(SIGKILL);
  }
}

}  // namespace wasabi::soak
