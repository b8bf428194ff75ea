#include "app/day.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <system_error>
#include <vector>

#include "app/ctl.hpp"
#include "app/exit_codes.hpp"
#include "config/settings.hpp"
#include "lab/replay/settings.hpp"
#include "net/loop.hpp"
#include "script/day.hpp"
#include "standins/auditor.hpp"

namespace gorsemount::app {

namespace {

namespace fs = std::filesystem;
using standins::Audit;
using standins::Day;
using standins::ServiceCounts;

const Span kStartupDelay = Span::seconds(1.5);  // lets coordinators bind their sockets and probe every worker
const Span kPollInterval = Span::seconds(0.05);
const Span kKillPollInterval = Span::seconds(0.003);  // well below the lease duration
constexpr unsigned kOctetsPerFleet = 10;

// A child process that is killed when this process ends, however it ends.
class ChildProcess {
 public:
  ChildProcess(std::vector<std::string> command, const std::string& error_file) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (auto& word : command) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0) throw std::system_error{errno, std::generic_category(), "fork"};
    if (pid_ > 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    if (const int fd = open(error_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644); fd >= 0)
      dup2(fd, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess() {
    send_signal(SIGKILL);
    while (!has_exited()) usleep(1000);
  }
  void send_signal(int signal) const {
    if (!exit_code_ && pid_ > 0) kill(pid_, signal);
  }
  [[nodiscard]] bool has_exited() {
    int status = 0;
    if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_)
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return exit_code_.has_value();
  }
  [[nodiscard]] int exit_code() const { return exit_code_.value_or(-1); }

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

// One fleet: its coordinator processes, its stand-in process and its folder.
class Fleet {
 public:
  Fleet(const Day& day, std::string file, std::string folder, standins::AddressPlan places,
        const std::vector<lab::Override>& changes, bool fixed_weights, bool show)
      : day_{day},
        day_file_{std::move(file)},
        folder_{std::move(folder)},
        places_{places},
        fixed_weights_{fixed_weights},
        show_{show} {
    fs::create_directories(folder_);
    fs::copy_file(day_file_, folder_ + "/day.hcl", fs::copy_options::overwrite_existing);
    std::ofstream{folder_ + "/roster.hcl"} << standins::roster_text(standins::roster_of(day_, places_));
    for (std::size_t number = 1; number <= day_.coordinators.size(); ++number) {
      std::string text = standins::coordinator_settings(day_, places_, number, folder_);
      for (const auto& change : changes) text = lab::apply_override(text, change);
      std::ofstream{settings_file(number)} << text;
    }
    if (day_.shared)
      std::ofstream{folder_ + "/keys"} << "1 " << std::string(64, '5') << "\n";  // a key for this run only
    coordinators_.resize(day_.coordinators.size());
  }

  void start(net::Loop& loop, Instant begin) {
    std::vector<std::string> command{program_path("gorsemount-standin"),
                                     "play",
                                     day_file_,
                                     "--folder",
                                     folder_,
                                     "--octet",
                                     std::to_string(places_.octet),
                                     "--start",
                                     std::to_string((begin - Instant{}).micros())};
    if (show_) command.emplace_back("--show");
    stand_ins_.emplace(std::move(command), folder_ + "/errors.log");
    for (std::size_t number = 1; number <= coordinators_.size(); ++number) start_coordinator(number);
    for (const auto& scripted_command : day_.operator_commands)
      loop.at(begin + scripted_command.at, [this, &scripted_command] {
        for (std::size_t number = 1; number <= coordinators_.size(); ++number)
          if (coordinators_[number - 1])
            static_cast<void>(
                ctl({fmt::format("{}/pwani-{}.sock", folder_, number), "", {scripted_command.text}, false}));
      });
    for (const auto& kill : day_.kills)
      for (std::size_t number = 1; number <= coordinators_.size(); ++number)
        if (kill.coordinator == "pwani-" + std::to_string(number)) {
          loop.at(begin + kill.at, [this, number, &kill] {
            if (kill.pause) {
              coordinators_[number - 1]->send_signal(SIGSTOP);
            } else if (kill.planned) {
              coordinators_[number - 1]->send_signal(SIGTERM);
            } else {
              coordinators_[number - 1].reset();
            }
          });
          loop.at(begin + kill.at + kill.lasts, [this, number, &kill] {
            if (kill.pause) {
              coordinators_[number - 1]->send_signal(SIGCONT);
            } else {
              start_coordinator(number);
            }
          });
        }
  }
  // Kills or pauses the coordinators that the stand-ins have requested since the last call.
  void process_kill_requests(net::Loop& loop) {
    std::ifstream in{folder_ + "/strikes"};
    std::string line;
    for (std::size_t n = 0; std::getline(in, line); ++n) {
      if (n < processed_kills_) continue;
      ++processed_kills_;
      if (!line.starts_with("pwani-")) continue;
      const std::size_t number = std::strtoul(line.c_str() + 6, nullptr, 10);
      if (number < 1 || number > coordinators_.size() || !coordinators_[number - 1]) continue;
      if (day_.cuts.pause) {
        coordinators_[number - 1]->send_signal(SIGSTOP);
        loop.after(day_.cuts.lasts, [this, number] { coordinators_[number - 1]->send_signal(SIGCONT); });
      } else {
        coordinators_[number - 1].reset();
        loop.after(day_.cuts.lasts, [this, number] {
          if (!coordinators_[number - 1]) start_coordinator(number);
        });
      }
    }
  }
  // True once the stand-in process has exited.
  [[nodiscard]] bool finished() { return stand_ins_->has_exited(); }
  [[nodiscard]] bool failed() const { return stand_ins_->exit_code() != 0; }
  void stop() {
    for (auto& c : coordinators_)
      if (c) c->send_signal(SIGTERM);
    for (auto& c : coordinators_)
      for (int tries = 0; c && !c->has_exited() && tries < 2000; ++tries) usleep(1000);
  }
  [[nodiscard]] Audit audit_records() const { return standins::audit(day_, standins::read_records(folder_)); }
  [[nodiscard]] const std::string& folder() const { return folder_; }

 private:
  [[nodiscard]] std::string settings_file(std::size_t number) const {
    return fmt::format("{}/pwani-{}.hcl", folder_, number);
  }
  static std::string program_path(const char* program) {
    return (fs::read_symlink("/proc/self/exe").parent_path() / program).string();
  }
  void start_coordinator(std::size_t number) {
    std::vector<std::string> command{program_path("gorsemount"), "serve", settings_file(number)};
    if (fixed_weights_) command.emplace_back("--fixed-weights");
    coordinators_[number - 1] = std::make_unique<ChildProcess>(std::move(command), folder_ + "/errors.log");
  }

  const Day& day_;
  std::string day_file_, folder_;
  standins::AddressPlan places_;
  bool fixed_weights_, show_;
  std::optional<ChildProcess> stand_ins_;
  std::vector<std::unique_ptr<ChildProcess>> coordinators_;
  std::size_t processed_kills_ = 0;
};

void print_counts(const std::string& label, const ServiceCounts& measured, const ServiceCounts* baseline) {
  std::string line = fmt::format("  {:<16} {:>6} {:>8.3f} {:>6} {:>8} {:>8} {:>8}", label,
                                 measured.invocations, measured.service(), measured.late, measured.errored,
                                 measured.rate_limited, measured.no_line);
  if (baseline != nullptr)
    line +=
        fmt::format("   {:>8.3f} {:>+8.3f}", baseline->service(), measured.service() - baseline->service());
  std::printf("%s\n", line.c_str());
}

void print_rules(const Audit& audit) {
  for (const auto& verdict : audit.verdicts)
    std::printf("%s\n", fmt::format("  {:<34} {:<6} {:>9.3f} of {:>9.3f} {:<24} {}", verdict.rule,
                                    verdict.kept ? "kept" : "BROKEN", verdict.worst, verdict.limit,
                                    verdict.unit, verdict.detail)
                            .c_str());
  for (const auto& [interval, reaction] :
       {std::pair{"a worker's crash to the first list without it", &audit.crash_to_first_removal},
        {"a worker's crash to the last list with it", &audit.crash_to_last_listing},
        {"a forwarder's loss of its leader to the next", &audit.leaderless_times},
        {"a table's leaving the channel to its application", &audit.in_force},
        {"a drain to the last invocation sent there", &audit.drain_to_last_send}})
    if (!reaction->seconds.empty())
      std::printf("  from %-46s median %7.3f s, worst %7.3f s, of %zu\n", interval, reaction->median(),
                  reaction->worst(), reaction->seconds.size());
  if (audit.cuts > 0) std::printf("  commands were truncated at %zu seeded byte offsets\n", audit.cuts);
  if (audit.disobedient_refused > 0)
    std::printf(
        "  %llu invocations by clients that keep expired answers were refused by draining workers before "
        "they started\n",
        static_cast<unsigned long long>(audit.disobedient_refused));
}

void print_table(const Audit& measured, const Audit* baseline) {
  std::printf(
      "\nBilled value answered within the latency objective, as a fraction of that requested\n  %-16s %6s "
      "%8s %6s %8s "
      "%8s %8s%s\n",
      "", "asked", "service", "late", "errored", "limited", "no line",
      baseline != nullptr ? "      fixed  differs" : "");
  print_counts("whole day", measured.whole, baseline != nullptr ? &baseline->whole : nullptr);
  for (const auto& [name, counts] : measured.by_operation) {
    const ServiceCounts* baseline_counts = nullptr;
    if (baseline != nullptr)
      if (const auto it = baseline->by_operation.find(name); it != baseline->by_operation.end())
        baseline_counts = &it->second;
    print_counts(name, counts, baseline_counts);
  }
  for (std::size_t phase = 0; phase < measured.by_phase.size(); ++phase)
    print_counts("phase " + measured.by_phase[phase].first, measured.by_phase[phase].second,
                 baseline != nullptr && phase < baseline->by_phase.size() ? &baseline->by_phase[phase].second
                                                                          : nullptr);
  std::printf("\nRules, worst value against the limit\n");
  print_rules(measured);
  if (baseline != nullptr) {
    std::printf("\nThe same under fixed weights\n");
    print_rules(*baseline);
  }
}

// Longer days run on the virtual clock only.
const Span kMaxDayLength = Span::seconds(600);

int play(const Day& day, const DayOptions& options, const std::string& folder) {
  if (day.length > kMaxDayLength)
    throw std::runtime_error{
        fmt::format("{}: a day on loopback may last {} at most; `gorsemount replay` plays longer ones",
                    options.day, config::span_text(kMaxDayLength))};
  std::vector<lab::Override> changes;
  for (const auto& change : options.changes) changes.push_back(lab::read_override(change));
  for (std::size_t number = 1; number <= day.coordinators.size(); ++number)
    static_cast<void>(
        lab::settings_for(day, number, "", changes));  // throws for invalid overrides before anything starts
  net::Loop loop;
  const Instant begin = net::monotonic_now() + kStartupDelay;
  std::vector<std::unique_ptr<Fleet>> fleets;
  fleets.push_back(std::make_unique<Fleet>(day, options.day, folder + "/module",
                                           standins::AddressPlan{options.octet}, changes,
                                           day.unsafe.fixed_weights, !options.quiet));
  if (options.baseline)
    fleets.push_back(std::make_unique<Fleet>(day, options.day, folder + "/fixed",
                                             standins::AddressPlan{options.octet + kOctetsPerFleet}, changes,
                                             true, false));
  for (auto& fleet : fleets) fleet->start(loop, begin);
  bool interrupted = false;
  for (const int signal : {SIGINT, SIGTERM}) loop.on_signal(signal, [&] { interrupted = true, loop.stop(); });
  const std::function<void()> poll_kills = [&] {
    for (auto& fleet : fleets) fleet->process_kill_requests(loop);
    loop.after(kKillPollInterval, poll_kills);
  };
  if (day.cuts.count > 0) loop.after(kKillPollInterval, poll_kills);
  const std::function<void()> poll = [&] {
    bool finished = true;
    for (auto& fleet : fleets) finished = fleet->finished() && finished;
    if (finished) return loop.stop();
    loop.after(kPollInterval, poll);
  };
  loop.after(kPollInterval, poll);
  loop.run();
  for (auto& fleet : fleets) fleet->stop();
  if (interrupted) return kExitFailure;
  for (const auto& fleet : fleets)
    if (fleet->failed()) {
      std::fprintf(stderr, "gorsemount: the stand-ins failed; see %s/errors.log\n", fleet->folder().c_str());
      std::ifstream in{fleet->folder() + "/errors.log"};
      for (std::string line; std::getline(in, line);) std::fprintf(stderr, "  %s\n", line.c_str());
      return kExitFailure;
    }
  const Audit measured = fleets.front()->audit_records();
  std::optional<Audit> baseline;
  if (options.baseline) baseline = fleets.back()->audit_records();
  print_table(measured, baseline ? &*baseline : nullptr);
  return measured.kept() ? kExitSuccess : kExitRuleViolated;
}

}  // namespace

int day(const DayOptions& options) {
  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(options.day, faults);
  config::Findings findings;
  const Day script = faults.empty() ? standins::read_day(text, options.day, findings) : Day{};
  faults.insert(faults.end(), findings.faults.begin(), findings.faults.end());
  if (!faults.empty()) {
    for (const auto& error : faults) std::fprintf(stderr, "%s\n", error.text().c_str());
    return kExitInvalidConfig;
  }
  std::string folder = options.folder;
  try {
    if (folder.empty()) {
      folder = (fs::temp_directory_path() / "gorsemount-day-XXXXXX").string();
      if (mkdtemp(folder.data()) == nullptr) throw std::system_error{errno, std::generic_category(), folder};
    }
    folder = fs::absolute(folder).string();
    for (const char* part : {"/module", "/fixed"}) fs::remove_all(folder + part);
    const int exit_code = play(script, options, folder);
    if (options.folder.empty() && exit_code == kExitSuccess) {
      fs::remove_all(folder);
    } else {
      std::printf("\nRecords, settings and logs: %s\n", folder.c_str());
    }
    return exit_code;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gorsemount: %s\n", error.what());
    return kExitFailure;
  }
}

}  // namespace gorsemount::app
