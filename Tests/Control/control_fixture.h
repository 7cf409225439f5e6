// Test fixture that runs a platform stand-in, stand-in engines, up to two
// control daemons and wasabictl as real processes on loopback addresses.

#ifndef TESTS_CONTROL_CONTROL_FIXTURE_H_
#define TESTS_CONTROL_CONTROL_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibCore/socket_address.h"
#include "Tests/Support/Fleet/child_process.h"

namespace wasabi::control {

// The result of running a program to its end.
struct CommandResult {
  // -1 if the program did not exit in time or was ended by a signal.
  int exit_status = -1;
  // Standard output and standard error.
  std::string output;
};

class ControlFixture {
 public:
  ControlFixture();
  ~ControlFixture();

  void StartPlatform();
  // Starts control daemon `number` (1 or 2) and waits until it answers. `extra`
  // is appended to its settings file.
  void StartControl(int number, const std::string& extra = "");
  void SignalControl(int number, int signal_number);
  // Kills the daemon without a graceful shutdown.
  void KillControl(int number);
  // Sends SIGTERM to the daemon. Returns its exit code, or -1 if it does not
  // exit in time or is ended by a signal.
  int StopControl(int number);
  // Starts a stand-in engine that registers itself in `pool`. With
  // `checks_fencing` it refuses orders with an outdated fencing number.
  void StartEngine(const std::string& id,
                   const std::string& pool,
                   bool checks_fencing);
  core::SocketAddress EngineAddress(const std::string& id) const;

  // Runs a program of the build tree to its end; the first argument is its
  // name.
  CommandResult RunProgram(const std::vector<std::string>& arguments);
  // Runs wasabictl against control daemon `number`.
  CommandResult Run(int number, const std::vector<std::string>& arguments);
  // Runs wasabictl with --json and parses the first line of its output.
  nlohmann::json RunJson(int number, std::vector<std::string> arguments);
  // Makes a plan from the intent file text and returns the plan id, or an empty
  // string on failure.
  std::string Plan(int number, const std::string& text);

  // Sends an HTTP request and returns the JSON body of the response, or null if
  // there is none.
  nlohmann::json Http(const core::SocketAddress& address,
                      const std::string& method,
                      const std::string& target,
                      const std::string& body = "");
  // Sets the faults that the platform stand-in injects.
  void SetFaults(const std::string& json);
  // Sends a request without a body to the platform stand-in.
  void CallPlatform(const std::string& method, const std::string& target);
  // Polls until `condition` returns true. Returns false after twenty seconds.
  bool WaitUntil(const std::function<bool()>& condition);
  // Returns the response of the daemon to GET /v1/status.
  nlohmann::json Status(int number);
  // Waits until the daemon has applied the configuration log up to `offset`.
  bool WaitForOffset(int number, int64_t offset);
  // Waits until the daemon's member table has exactly `members` rows.
  bool WaitForMembers(int number, size_t members);
  // Returns the number of events with this name in the daemon's event ring.
  int CountEvents(int number, const std::string& name);

  // Writes a file in the fixture's temporary folder and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text);

 private:
  using ChildPtr = std::unique_ptr<support::ChildProcess>;

  core::SocketAddress ControlAddress(int number) const;
  // Starts a program of the build tree and waits until it answers at `address`.
  ChildPtr StartServer(const std::vector<std::string>& arguments,
                       const core::SocketAddress& address,
                       const std::string& health_target);

  std::string folder_;
  core::SocketAddress platform_address_;
  ChildPtr platform_;
  std::map<int, ChildPtr> controls_;
  std::map<int, core::SocketAddress> control_addresses_;
  // Fixed up front because each control daemon is a gossip seed of the other.
  std::map<int, core::SocketAddress> gossip_addresses_;
  std::map<std::string, ChildPtr> engines_;
  std::map<std::string, core::SocketAddress> engine_addresses_;
};

}  // namespace wasabi::control

#endif  // TESTS_CONTROL_CONTROL_FIXTURE_H_
