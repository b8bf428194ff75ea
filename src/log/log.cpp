#include "log/log.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gorsemount::log {

namespace {

spdlog::level::level_enum parse_level(const std::string& name) {
  if (name == "debug") return spdlog::level::debug;
  if (name == "warning") return spdlog::level::warn;
  return name == "error" ? spdlog::level::err : spdlog::level::info;
}

}  // namespace

Log::Log(std::string program, const std::string& level, const std::string& file)
    : program_{std::move(program)} {
  try {
    spdlog::sink_ptr sink;
    if (file.empty()) {
      sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    } else {
      sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(file);
    }
    logger_ = std::make_shared<spdlog::logger>(program_, sink);
  } catch (const spdlog::spdlog_ex& error) {
    throw std::runtime_error{error.what()};
  }
  logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l",%v})");
  logger_->flush_on(spdlog::level::info);
  set_level(level);
}

Log::~Log() = default;

void Log::set_level(const std::string& level) { logger_->set_level(parse_level(level)); }

void Log::event(Level level, const std::string& name, const Fields& fields) {
  constexpr spdlog::level::level_enum levels[] = {spdlog::level::debug, spdlog::level::info,
                                                  spdlog::level::warn, spdlog::level::err};
  const auto spdlog_level = levels[static_cast<std::size_t>(level)];
  if (!logger_->should_log(spdlog_level)) return;
  nlohmann::ordered_json record{{"program", program_}, {"event", name}};
  for (const auto& [key, value] : fields) record[key] = value;
  const std::string text = record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  logger_->log(spdlog_level, "{}", std::string_view{text}.substr(1, text.size() - 2));
}

}  // namespace gorsemount::log
