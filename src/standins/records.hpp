// What passed on a stand-in's sockets, with the monotonic time: one JSON object a line. The auditor reads
// these and nothing else.
#pragma once

#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/time.hpp"

namespace gorsemount::standins {

class Recorder {
 public:
  explicit Recorder(const std::string& file);  // throws std::system_error
  // `fields`: what belongs to it; "t" (microseconds) and "what" are added.
  void write(Instant at, const char* what, nlohmann::ordered_json fields);

 private:
  struct Close {
    void operator()(std::FILE* f) const { std::fclose(f); }
  };
  std::unique_ptr<std::FILE, Close> file_;
};

struct Record {
  std::int64_t t = 0;  // microseconds
  std::string what;
  nlohmann::json fields;
  [[nodiscard]] std::string text(const char* key) const { return fields.value(key, std::string{}); }
  [[nodiscard]] double number(const char* key) const { return fields.value(key, 0.0); }
};
// All records of a folder's *.records files, in the order of time. A last line cut off by a kill is left out;
// any other that can't be read throws std::runtime_error with file and line.
[[nodiscard]] std::vector<Record> read_records(const std::string& folder);

}  // namespace gorsemount::standins
