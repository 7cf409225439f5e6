// wasabi_timeline: collects the events of several processes and prints them as
// one timeline in causal order.

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

#include "LibCore/text.h"
#include "Utilities/Timeline/event_collector.h"

DEFINE_string(processes,
              "",
              "HTTP addresses of the processes, separated by commas");
DEFINE_string(request, "", "show only the events of this request id");
DEFINE_string(trace,
              "",
              "also write a trace file for browser trace viewers to this path");

namespace wasabi::timeline {
namespace {

constexpr int kUsageExit = 2;
constexpr int kIncompleteExit = 1;

int RunTimeline() {
  std::vector<core::SocketAddress> processes;
  for (const std::string& text : core::SplitList(FLAGS_processes)) {
    const auto address = core::SocketAddress::Parse(text);
    if (!address.ok()) {
      std::cerr << core::MessageOf(address.status()) << "\n";
      return kUsageExit;
    }
    processes.push_back(*address);
  }
  if (processes.empty()) {
    std::cerr << "wasabi_timeline: --processes is required; see --help\n";
    return kUsageExit;
  }
  core::EventLoop loop;
  http::Client client(&loop);
  const Collection collection = CollectEvents(&loop, &client, processes);
  std::vector<ProcessEvent> events = Merge(collection.events);
  if (!FLAGS_request.empty()) {
    events = FilterByRequest(events, FLAGS_request);
  }
  std::cout << ToText(events);
  if (!FLAGS_trace.empty()) {
    std::ofstream(FLAGS_trace) << ToTrace(events);
  }
  for (const auto& [process, reason] : collection.failures) {
    std::cerr << "no events from " << process << ": " << reason << "\n";
  }
  return collection.failures.empty() ? 0 : kIncompleteExit;
}

}  // namespace
}  // namespace wasabi::timeline

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "merges the events of all processes into one timeline\n"
      "  wasabi_timeline --processes=127.0.1.1:8080,127.0.1.2:8080 "
      "[--request=ID] [--trace=FILE]\n"
      "Exit status: 0 complete, 1 at least one process did not answer, 2 wrong "
      "usage.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wasabi::timeline::RunTimeline();
}
