#include "Tests/Support/Fleet/fleet.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/execution_log.h"
#include "Tests/Support/free_address.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {

namespace {

using core::ResultCode;

constexpr core::Duration kHealthTimeout = std::chrono::seconds(15);
constexpr core::Duration kServingTimeout = std::chrono::seconds(30);
constexpr core::Duration kApplyTimeout = std::chrono::seconds(40);
constexpr core::Duration kStopTimeout = std::chrono::seconds(30);
constexpr core::Duration kTimeLineTimeout = std::chrono::seconds(20);
// Number of log lines of a failed process that an error message contains.
constexpr size_t kLogTailLines = 20;
// Limits the seed list, because the length of a line in an INI file is limited.
// Gossip discovers the other members.
constexpr size_t kMaxSeeds = 6;
constexpr int kDataCentres = 3;

std::string Numbered(std::string_view prefix, int number) {
  return fmt::format("{}-{}", prefix, number);
}

std::string DataCentreOf(int number) {
  return Numbered("dc", (number - 1) % kDataCentres + 1);
}

// Returns the number at the end of a process name, or 1 if there is none.
int NumberOf(const std::string& name) {
  const size_t dash = name.rfind('-');
  return core::ParseNumber<int>(std::string_view(name).substr(dash + 1))
      .value_or(1);
}

absl::Status Failure(std::string_view message) {
  return core::MakeStatus(ResultCode::kEndpointFailed, message);
}

bool IsOk(const absl::StatusOr<http::ClientResponse>& response) {
  return response.ok() && response->status == kHttpOk;
}

}  // namespace

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::Create(
    const FleetOptions& options) {
  std::unique_ptr<Fleet> fleet(new Fleet(options));
  const absl::Status status = fleet->StartAll();
  if (!status.ok()) {
    fleet->KeepWorkFolder();
    return status;
  }
  return fleet;
}

Fleet::Fleet(FleetOptions options) : options_(std::move(options)) {}

Fleet::~Fleet() {
  members_.clear();
  if (owns_work_folder_ && is_stopped_cleanly_ && !keeps_work_folder_) {
    std::error_code ec;
    std::filesystem::remove_all(options_.work_folder, ec);
  }
}

absl::Status Fleet::Signal(const std::string& name, int number) {
  const auto it = members_.find(name);
  if (it == members_.end()) {
    return Failure(fmt::format("no process is named {}", name));
  }
  it->second.is_expected_to_end |= number == SIGKILL || number == SIGTERM;
  it->second.process->Signal(number);
  return absl::OkStatus();
}

absl::StatusOr<ProcessExit> Fleet::WaitForExit(const std::string& name,
                                               core::Duration timeout) {
  const auto it = members_.find(name);
  if (it == members_.end()) {
    return Failure(fmt::format("no process is named {}", name));
  }
  const std::optional<ProcessExit> exit = it->second.process->Wait(timeout);
  if (!exit) {
    return Failure(fmt::format("{} did not exit within {} ms", name,
                               core::ToMilliseconds(timeout)));
  }
  it->second.is_expected_to_end = true;
  return *exit;
}

absl::Status Fleet::StartWithoutHealthCheck(const std::string& name) {
  const auto it = members_.find(name);
  if (it == members_.end()) {
    return Failure(fmt::format("no process is named {}", name));
  }
  TRY_ASSIGN(it->second.process,
             ChildProcess::Start(it->second.arguments, LogPath(name)));
  it->second.is_expected_to_end = false;
  return absl::OkStatus();
}

absl::Status Fleet::Restart(const std::string& name) {
  TRY(StartWithoutHealthCheck(name));
  return WaitUntilHealthy(name,
                          name == "platform" ? "/v1/hosts" : "/v1/healthz");
}

bool Fleet::WaitUntilExecutions(size_t count, core::Duration timeout) const {
  return WaitUntil(
      [&] {
        size_t executions = 0;
        for (const std::string& path : ExecutionFiles()) {
          const auto records = ReadExecutionFile(path);
          executions += records.ok() ? records->size() : 0;
        }
        return executions >= count;
      },
      timeout);
}

absl::Status Fleet::Stop() {
  // The daemons stop first, while the endpoints and the platform are still
  // available to them.
  for (const char* prefix :
       {"router-", "control-", "engine-", "service-", "proxy", "platform"}) {
    TRY(StopMembers(prefix));
  }
  is_stopped_cleanly_ = true;
  return absl::OkStatus();
}

absl::Status Fleet::StopMembers(const std::string& prefix) {
  for (auto& [name, member] : members_) {
    if (name.starts_with(prefix) && !member.is_expected_to_end) {
      if (const auto early = member.process->Poll()) {
        return Failure(fmt::format("{} exited unexpectedly: {}\n{}", name,
                                   early->ToString(), LogTail(name)));
      }
      member.process->Signal(SIGTERM);
    }
  }
  for (auto& [name, member] : members_) {
    if (!name.starts_with(prefix) || member.is_expected_to_end) {
      continue;
    }
    TRY_ASSIGN(const ProcessExit exit, WaitForExit(name, kStopTimeout));
    if (exit != ProcessExit{0, 0}) {
      return Failure(fmt::format("{} ended with {}\n{}", name, exit.ToString(),
                                 LogTail(name)));
    }
  }
  return absl::OkStatus();
}

absl::Status Fleet::InjectLinkFault(const std::string& link,
                                    const nlohmann::json& fault) {
  nlohmann::json body = fault;
  body["link"] = link;
  const auto response = PostNow(proxy_control_, "/faults", body);
  if (!IsOk(response)) {
    return Failure(
        fmt::format("the proxy did not accept the fault for link {}", link));
  }
  return absl::OkStatus();
}

std::string Fleet::CollectTimeLine() {
  Addresses daemons = routers();
  for (const core::SocketAddress& it : controls()) {
    daemons.push_back(it);
  }
  std::string path = options_.work_folder + "/time-line.txt";
  const auto process = ChildProcess::Start(
      {options_.binary_folder + "/wasabi_timeline",
       "--processes=" + JoinAddresses(daemons),
       "--trace=" + options_.work_folder + "/time-line.json"},
      path);
  if (process.ok()) {
    (*process)->Wait(kTimeLineTimeout);
  }
  return path;
}

pid_t Fleet::PidOf(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? -1 : it->second.process->pid();
}

core::SocketAddress Fleet::AddressOf(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? core::SocketAddress() : it->second.address;
}

Fleet::Addresses Fleet::AddressesOf(const std::string& prefix) const {
  Addresses addresses;
  for (int i = 1; members_.contains(fmt::format("{}{}", prefix, i)); ++i) {
    addresses.push_back(AddressOf(fmt::format("{}{}", prefix, i)));
  }
  return addresses;
}

std::vector<std::string> Fleet::ExecutionFiles() const {
  std::vector<std::string> files;
  for (const auto& [name, member] : members_) {
    if (name.starts_with("engine-") || name.starts_with("service-")) {
      files.push_back(
          fmt::format("{}/{}.executions", options_.work_folder, name));
    }
  }
  return files;
}

absl::Status Fleet::MakeWorkFolder() {
  if (!options_.work_folder.empty()) {
    std::error_code ec;
    std::filesystem::create_directories(options_.work_folder, ec);
    return ec ? Failure("cannot create work folder " + options_.work_folder)
              : absl::OkStatus();
  }
  std::string path = std::filesystem::temp_directory_path() / "fleet-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    return Failure("cannot create a temporary work folder");
  }
  options_.work_folder = path;
  owns_work_folder_ = true;
  return absl::OkStatus();
}

absl::Status Fleet::StartAll() {
  TRY(MakeWorkFolder());
  listen_addresses_["platform"] = Reserve();
  for (int i = 1; i <= options_.engines; ++i) {
    listen_addresses_[Numbered("engine", i)] = Reserve();
  }
  for (int i = 1; i <= options_.services; ++i) {
    listen_addresses_[Numbered("service", i)] = Reserve();
  }
  ReserveEntryAddresses();
  if (options_.has_proxies) {
    TRY(StartProxy());
  }
  TRY(StartPlatform());
  TRY(StartEndpoints());
  TRY(RegisterEntries());
  TRY(StartEntries());
  TRY(ApplyDeployment());
  return WaitUntilServing();
}

absl::Status Fleet::StartProxy() {
  std::vector<std::string> links;
  std::map<std::string, core::SocketAddress> targets = listen_addresses_;
  for (const auto& [name, addresses] : daemons_) {
    if (name.starts_with("router-")) {
      targets[name + "-http"] = addresses.http;
      targets[name + "-link"] = addresses.link;
    }
  }
  for (const auto& [name, target] : targets) {
    proxy_addresses_[name] = Reserve();
    links.push_back(fmt::format("{}=tcp:{}>{}", name,
                                proxy_addresses_.at(name).ToString(),
                                target.ToString()));
  }
  proxy_control_ = Reserve();
  TRY(StartMember("proxy", "fault_proxy",
                  {"--control=" + proxy_control_.ToString(),
                   fmt::format("--links={}", fmt::join(links, ",")),
                   fmt::format("--seed={}", options_.seed)},
                  proxy_control_));
  return WaitUntilHealthy("proxy", "/v1/healthz");
}

absl::Status Fleet::StartPlatform() {
  const core::SocketAddress address = listen_addresses_.at("platform");
  std::vector<std::string> flags = {"--address=" + address.ToString(),
                                    fmt::format("--seed={}", options_.seed)};
  flags.insert(flags.end(), options_.platform_flags.begin(),
               options_.platform_flags.end());
  TRY(StartMember("platform", "standin_platform", flags, address));
  return WaitUntilHealthy("platform", "/v1/hosts");
}

absl::Status Fleet::StartEndpoints() {
  std::vector<std::string> engine_flags = options_.engine_flags;
  engine_flags.push_back("--model=" + options_.deployment.model);
  for (int i = 1; i <= options_.engines; ++i) {
    TRY(StartEndpoint(Numbered("engine", i), "standin_engine",
                      options_.deployment.model_pool, engine_flags));
  }
  for (int i = 1; i <= options_.services; ++i) {
    TRY(StartEndpoint(Numbered("service", i), "standin_service",
                      options_.deployment.service_pool,
                      options_.service_flags));
  }
  for (const auto& [name, address] : listen_addresses_) {
    if (name != "platform") {
      TRY(WaitUntilHealthy(name, "/v1/healthz"));
    }
  }
  return absl::OkStatus();
}

absl::Status Fleet::StartEndpoint(const std::string& name,
                                  const std::string& program,
                                  const std::string& pool,
                                  const std::vector<std::string>& flags) {
  const core::SocketAddress address = listen_addresses_.at(name);
  std::vector<std::string> all = {
      "--address=" + address.ToString(),
      "--public_address=" + PublicAddress(name).ToString(),
      "--platform=" + listen_addresses_.at("platform").ToString(),
      "--id=" + name,
      "--pool=" + pool,
      "--data_centre=" + DataCentreOf(NumberOf(name)),
      fmt::format("--execution_file={}/{}.executions", options_.work_folder,
                  name)};
  all.insert(all.end(), flags.begin(), flags.end());
  return StartMember(name, program, all, address);
}

void Fleet::ReserveEntryAddresses() {
  for (int i = 1; i <= options_.entries; ++i) {
    const std::string ip = LoopbackIp(next_ip_++);
    for (const char* kind : {"router", "control"}) {
      daemons_[Numbered(kind, i)] = {FreeAddress(ip), FreeAddress(ip),
                                     FreeAddress(ip)};
    }
  }
}

absl::Status Fleet::RegisterEntries() {
  for (int i = 1; i <= options_.entries; ++i) {
    const std::string id = Numbered("entry", i);
    http::ClientRequest request;
    request.method = "PUT";
    request.address = listen_addresses_.at("platform");
    request.target = "/v1/hosts/" + id;
    request.body =
        nlohmann::json(
            {{"id", id},
             {"kind", "entry"},
             {"pool", ""},
             {"data_centre", DataCentreOf(i)},
             {"address", daemons_.at(Numbered("router", i)).gossip.ToString()},
             {"state", "live"}})
            .dump();
    if (!IsOk(FetchNow(request))) {
      return Failure("the platform did not accept the host entry of " + id);
    }
  }
  return absl::OkStatus();
}

absl::Status Fleet::StartEntries() {
  for (int i = 1; i <= options_.entries; ++i) {
    TRY(StartDaemon(Numbered("router", i), "wasabi_router",
                    options_.router_settings));
    TRY(StartDaemon(Numbered("control", i), "wasabi_control",
                    options_.control_settings));
  }
  for (const auto& [name, addresses] : daemons_) {
    TRY(WaitUntilHealthy(name, "/v1/healthz"));
  }
  return absl::OkStatus();
}

absl::Status Fleet::StartDaemon(const std::string& name,
                                const std::string& program,
                                const IniOverrides& overrides) {
  const int number = NumberOf(name);
  DaemonPlace place;
  place.host_id =
      fmt::format("entry-{}/{}", number, name.substr(0, name.rfind('-')));
  place.data_centre = DataCentreOf(number);
  place.addresses = daemons_.at(name);
  place.platform = PublicAddress("platform");
  for (const auto& [other, addresses] : daemons_) {
    if (other != name && place.gossip_seeds.size() < kMaxSeeds) {
      place.gossip_seeds.push_back(addresses.gossip);
    }
  }
  IniOverrides settings = overrides;
  if (proxy_addresses_.contains(name + "-http")) {
    settings["advertise"] = {
        {"http", proxy_addresses_.at(name + "-http").ToString()},
        {"link", proxy_addresses_.at(name + "-link").ToString()}};
  }
  const std::string path = fmt::format("{}/{}.ini", options_.work_folder, name);
  std::ofstream(path) << MakeDaemonSettings(place, settings);
  return StartMember(name, program, {"--settings=" + path},
                     place.addresses.http);
}

std::string Fleet::IntentFile() const {
  if (options_.intent_text.empty()) {
    return options_.source_folder + "/" + options_.deployment.intent_file;
  }
  std::string path = options_.work_folder + "/intent.ini";
  std::ofstream(path) << options_.intent_text;
  return path;
}

absl::Status Fleet::ApplyDeployment() {
  const std::string log = LogPath("wasabictl");
  TRY_ASSIGN(
      const std::unique_ptr<ChildProcess> process,
      ChildProcess::Start({options_.binary_folder + "/wasabictl",
                           "--control=" + JoinAddresses(controls()), "--yes",
                           "--operator_name=fleet", "apply", IntentFile()},
                          log));
  const std::optional<ProcessExit> exit = process->Wait(kApplyTimeout);
  if (!exit || *exit != ProcessExit{0, 0}) {
    return Failure(fmt::format("wasabictl apply failed: {}\n{}",
                               exit ? exit->ToString() : "timeout",
                               LogTail("wasabictl")));
  }
  return absl::OkStatus();
}

absl::Status Fleet::WaitUntilServing() {
  for (const core::SocketAddress& router : routers()) {
    const bool is_serving =
        WaitUntil([&] { return IsServing(router); }, kServingTimeout);
    if (!is_serving) {
      return Failure(
          fmt::format("router {} does not serve requests; logs are in {}",
                      router.ToString(), options_.work_folder));
    }
  }
  return absl::OkStatus();
}

bool Fleet::IsServing(const core::SocketAddress& router) const {
  const auto hosts = GetNow(router, "/v1/hosts");
  if (!IsOk(hosts)) {
    return false;
  }
  const nlohmann::json list = ParseObject(hosts->body);
  if (!list.is_object() ||
      list.value("hosts", nlohmann::json::array()).size() !=
          static_cast<size_t>(options_.entries)) {
    return false;
  }
  const nlohmann::json message = {{"role", "user"}, {"content", "ready?"}};
  const nlohmann::json body = {{"model", options_.deployment.model},
                               {"messages", nlohmann::json::array({message})},
                               {"stream", false},
                               {"max_tokens", 1}};
  http::ClientRequest request;
  request.method = "POST";
  request.address = router;
  request.target = "/v1/chat/completions";
  request.headers = {{std::string(http::kOrganisationHeader),
                      options_.deployment.organisation}};
  request.body = body.dump();
  return IsOk(FetchNow(request));
}

absl::Status Fleet::StartMember(const std::string& name,
                                const std::string& program,
                                const std::vector<std::string>& flags,
                                const core::SocketAddress& address) {
  Member& member = members_[name];
  member.address = address;
  member.arguments = {options_.binary_folder + "/" + program};
  member.arguments.insert(member.arguments.end(), flags.begin(), flags.end());
  TRY_ASSIGN(member.process,
             ChildProcess::Start(member.arguments, LogPath(name)));
  return absl::OkStatus();
}

absl::Status Fleet::WaitUntilHealthy(const std::string& name,
                                     const std::string& target) {
  Member& member = members_.at(name);
  bool is_healthy = false;
  WaitUntil(
      [&] {
        is_healthy = IsOk(GetNow(member.address, target));
        return is_healthy || member.process->Poll().has_value();
      },
      kHealthTimeout);
  if (!is_healthy) {
    const std::optional<ProcessExit> exit = member.process->Poll();
    return Failure(fmt::format("{} did not become healthy ({})\n{}", name,
                               exit ? exit->ToString() : "running",
                               LogTail(name)));
  }
  return absl::OkStatus();
}

core::SocketAddress Fleet::Reserve() {
  return FreeAddress(LoopbackIp(next_ip_++));
}

core::SocketAddress Fleet::PublicAddress(const std::string& name) const {
  const auto it = proxy_addresses_.find(name);
  return it == proxy_addresses_.end() ? listen_addresses_.at(name) : it->second;
}

std::string Fleet::LogPath(const std::string& name) const {
  return fmt::format("{}/{}.log", options_.work_folder, name);
}

std::string Fleet::LogTail(const std::string& name) const {
  std::ifstream file(LogPath(name));
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(file, line)) {
    lines.push_back(line);
  }
  std::string tail;
  const size_t first =
      lines.size() > kLogTailLines ? lines.size() - kLogTailLines : 0;
  for (size_t i = first; i < lines.size(); ++i) {
    tail += "  " + lines[i] + "\n";
  }
  return tail;
}

}  // namespace wasabi::support
