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

TEST_CASE("a full pipe leaves lines out and never blocks") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  LogSink sink(ends[1]);
  const std::string line(1000, 'x');
  constexpr int kLines = 1000;
  for (int i = 0; i < kLines; ++i) {
    sink.consume({}, line);
  }
  CHECK(sink.left_out() > 0);
  CHECK(sink.left_out() < kLines);
  // What was written is whole lines.
  std::string text(1U << 20U, '\0');
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  size_t bytes = 0;
  ssize_t n = 0;
  while ((n = read(ends[0], text.data(), text.size())) > 0) {
    bytes += static_cast<size_t>(n);
  }
  CHECK(bytes == (kLines - sink.left_out()) * (line.size() + 1));
  // There is room again.
  const uint64_t before = sink.left_out();
  sink.consume({}, line);
  CHECK(sink.left_out() == before);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace wasabi::core
