#include "LibHttp/headers.h"

#include <strings.h>

namespace wasabi::http {

namespace {

bool IsSameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

void Headers::Add(std::string name, std::string value) {
  fields_.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string> Headers::Find(std::string_view name) const {
  for (const Field& field : fields_) {
    if (IsSameName(field.first, name)) {
      return field.second;
    }
  }
  return std::nullopt;
}

std::string Headers::Get(std::string_view name) const {
  return Find(name).value_or("");
}

}  // namespace wasabi::http
