// Structured logging: one JSON object per line with time, level, program, event and the event's own fields.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace spdlog {
class logger;
}

namespace gorsemount::log {

enum class Level { debug, info, warning, error };
using Fields = std::vector<std::pair<std::string, std::string>>;

class Log {
 public:
  // Logs to standard error if `file` is empty. Throws std::runtime_error if the file can't be opened.
  Log(std::string program, const std::string& level, const std::string& file);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void event(Level level, const std::string& name, const Fields& fields = {});
  void set_level(const std::string& level);

 private:
  std::string program_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace gorsemount::log
