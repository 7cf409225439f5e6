#include "LibCore/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/log/attributes/attribute_value_set.hpp>
#include <boost/log/core/record_view.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "LibCore/log_sink.h"

namespace wasabi::core {
namespace {

TEST_CASE("a full pipe drops lines and never blocks") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  LogSink sink(ends[1]);
  const std::string line(1000, 'x');
  constexpr int kLines = 1000;
  for (int i = 0; i < kLines; ++i) {
    sink.consume({}, line);
  }
  CHECK(sink.dropped_lines() > 0);
  CHECK(sink.dropped_lines() < kLines);
  // Only whole lines were written.
  std::string text(1U << 20U, '\0');
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  size_t bytes = 0;
  ssize_t n = 0;
  while ((n = read(ends[0], text.data(), text.size())) > 0) {
    bytes += static_cast<size_t>(n);
  }
  CHECK(bytes == (kLines - sink.dropped_lines()) * (line.size() + 1));
  // The drained pipe accepts lines again.
  const uint64_t before = sink.dropped_lines();
  sink.consume({}, line);
  CHECK(sink.dropped_lines() == before);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace wasabi::core
