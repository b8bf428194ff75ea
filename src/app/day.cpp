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

const Span kPrelude = Span::seconds(1.5);  // for coordinators to bind and hear of every worker
const Span kPoll = Span::seconds(0.05);
const Span kStrike = Span::seconds(0.003);  // well below a lease
constexpr unsigned kFleetOctets = 10;

// A process of ours; ended with us, whatever ends us.
class Child {
 public:
  Child(std::vector<std::string> command, const std::string& errors) {
    std::vector<char*> raw;
    for (auto& word : command) raw.push_back(word.data());
    raw.push_back(nullptr);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0) throw std::system_error{errno, std::generic_category(), "fork"};
    if (pid_ > 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    if (const int fd = open(errors.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644); fd >= 0)
      dup2(fd, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    execv(raw[0], raw.data());
    _exit(127);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() {
    end(SIGKILL);
    while (!ended()) usleep(1000);
  }
  void end(int signal) const {
    if (!code_ && pid_ > 0) kill(pid_, signal);
  }
  [[nodiscard]] bool ended() {
    int status = 0;
    if (!code_ && waitpid(pid_, &status, WNOHANG) == pid_)
      code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return code_.has_value();
  }
  [[nodiscard]] int code() const { return code_.value_or(-1); }

 private:
  pid_t pid_ = -1;
  std::optional<int> code_;
};

// One fleet: its coordinators, its stand-ins, its folder.
class Fleet {
 public:
  Fleet(const Day& day, std::string file, std::string folder, standins::AddressPlan places,
        const std::vector<lab::Override>& changes, bool fixed, bool show)
      : day_{day},
        file_{std::move(file)},
        folder_{std::move(folder)},
        places_{places},
        fixed_{fixed},
        show_{show} {
    fs::create_directories(folder_);
    fs::copy_file(file_, folder_ + "/day.hcl", fs::copy_options::overwrite_existing);
    std::ofstream{folder_ + "/roster.hcl"} << standins::roster_text(standins::roster_of(day_, places_));
    for (std::size_t k = 1; k <= day_.coordinators.size(); ++k) {
      std::string text = standins::coordinator_settings(day_, places_, k, folder_);
      for (const auto& change : changes) text = lab::apply_override(std::move(text), change);
      std::ofstream{settings(k)} << text;
    }
    if (day_.shared)
      std::ofstream{folder_ + "/keys"} << "1 " << std::string(64, '5') << "\n";  // of this day only
    coordinators_.resize(day_.coordinators.size());
  }

  void start(net::Loop& loop, Instant begin) {
    std::vector<std::string> command{beside("gorsemount-standin"),
                                     "play",
                                     file_,
                                     "--folder",
                                     folder_,
                                     "--octet",
                                     std::to_string(places_.octet),
                                     "--start",
                                     std::to_string((begin - Instant{}).micros())};
    if (show_) command.emplace_back("--show");
    stage_.emplace(std::move(command), folder_ + "/errors.log");
    for (std::size_t k = 1; k <= coordinators_.size(); ++k) start_coordinator(k);
    for (const auto& scripted_command : day_.operator_commands)
      loop.at(begin + scripted_command.at, [this, &scripted_command] {
        for (std::size_t k = 1; k <= coordinators_.size(); ++k)
          if (coordinators_[k - 1])
            static_cast<void>(
                ctl({fmt::format("{}/pwani-{}.sock", folder_, k), "", {scripted_command.text}, false}));
      });
    for (const auto& kill : day_.kills)
      for (std::size_t k = 1; k <= coordinators_.size(); ++k)
        if (kill.coordinator == "pwani-" + std::to_string(k)) {
          loop.at(begin + kill.at, [this, k, &kill] {
            if (kill.pause) {
              coordinators_[k - 1]->end(SIGSTOP);
            } else if (kill.planned) {
              coordinators_[k - 1]->end(SIGTERM);
            } else {
              coordinators_[k - 1].reset();
            }
          });
          loop.at(begin + kill.at + kill.lasts, [this, k, &kill] {
            if (kill.pause) {
              coordinators_[k - 1]->end(SIGCONT);
            } else {
              start_coordinator(k);
            }
          });
        }
  }
  // Strikes whoever the stand-ins named since the last call.
  void strike(net::Loop& loop) {
    std::ifstream in{folder_ + "/strikes"};
    std::string line;
    for (std::size_t n = 0; std::getline(in, line); ++n) {
      if (n < struck_) continue;
      ++struck_;
      if (!line.starts_with("pwani-")) continue;
      const std::size_t k = std::strtoul(line.c_str() + 6, nullptr, 10);
      if (k < 1 || k > coordinators_.size() || !coordinators_[k - 1]) continue;
      if (day_.cuts.pause) {
        coordinators_[k - 1]->end(SIGSTOP);
        loop.after(day_.cuts.lasts, [this, k] { coordinators_[k - 1]->end(SIGCONT); });
      } else {
        coordinators_[k - 1].reset();
        loop.after(day_.cuts.lasts, [this, k] {
          if (!coordinators_[k - 1]) start_coordinator(k);
        });
      }
    }
  }
  // True once the stand-ins are done.
  [[nodiscard]] bool over() { return stage_->ended(); }
  [[nodiscard]] bool failed() const { return stage_->code() != 0; }
  void stop() {
    for (auto& c : coordinators_)
      if (c) c->end(SIGTERM);
    for (auto& c : coordinators_)
      for (int k = 0; c && !c->ended() && k < 2000; ++k) usleep(1000);
  }
  [[nodiscard]] Audit judge() const { return standins::audit(day_, standins::read_records(folder_)); }
  [[nodiscard]] const std::string& folder() const { return folder_; }

 private:
  [[nodiscard]] std::string settings(std::size_t k) const {
    return fmt::format("{}/pwani-{}.hcl", folder_, k);
  }
  static std::string beside(const char* program) {
    return (fs::read_symlink("/proc/self/exe").parent_path() / program).string();
  }
  void start_coordinator(std::size_t k) {
    std::vector<std::string> command{beside("gorsemount"), "serve", settings(k)};
    if (fixed_) command.emplace_back("--fixed-weights");
    coordinators_[k - 1] = std::make_unique<Child>(std::move(command), folder_ + "/errors.log");
  }

  const Day& day_;
  std::string file_, folder_;
  standins::AddressPlan places_;
  bool fixed_, show_;
  std::optional<Child> stage_;
  std::vector<std::unique_ptr<Child>> coordinators_;
  std::size_t struck_ = 0;
};

void print_counts(const std::string& head, const ServiceCounts& ours, const ServiceCounts* theirs) {
  std::string line = fmt::format("  {:<16} {:>6} {:>8.3f} {:>6} {:>8} {:>8} {:>8}", head, ours.invocations,
                                 ours.service(), ours.late, ours.errored, ours.rate_limited, ours.no_line);
  if (theirs != nullptr)
    line += fmt::format("   {:>8.3f} {:>+8.3f}", theirs->service(), ours.service() - theirs->service());
  std::printf("%s\n", line.c_str());
}

void print_rules(const Audit& a) {
  for (const auto& v : a.verdicts)
    std::printf("%s\n", fmt::format("  {:<34} {:<6} {:>9.3f} of {:>9.3f} {:<24} {}", v.rule,
                                    v.kept ? "kept" : "BROKEN", v.worst, v.limit, v.unit, v.detail)
                            .c_str());
  for (const auto& [what, r] :
       {std::pair{"a worker's crash to the first list without it", &a.crash_to_first_removal},
        {"a worker's crash to the last list with it", &a.crash_to_last_listing},
        {"a forwarder's losing its leader to the next", &a.leaderless_times},
        {"a table's leaving the channel to in force", &a.in_force},
        {"a drain to the last invocation sent there", &a.drain_to_last_send}})
    if (!r->seconds.empty())
      std::printf("  from %-46s %7.3f s in the middle, %7.3f s at worst, of %zu\n", what, r->median(),
                  r->worst(), r->seconds.size());
  if (a.cuts > 0) std::printf("  orders were cut at %zu seeded byte offsets\n", a.cuts);
  if (a.disobedient_refused > 0)
    std::printf(
        "  %llu invocations of clients that disobey were refused by draining workers before they began\n",
        static_cast<unsigned long long>(a.disobedient_refused));
}

void print_table(const Audit& ours, const Audit* fixed) {
  std::printf(
      "\nBilled value answered within the latency objective, over that asked for\n  %-16s %6s %8s %6s %8s "
      "%8s %8s%s\n",
      "", "asked", "service", "late", "errored", "limited", "no line",
      fixed != nullptr ? "      fixed  differs" : "");
  print_counts("whole day", ours.whole, fixed != nullptr ? &fixed->whole : nullptr);
  for (const auto& [name, c] : ours.by_operation) {
    const ServiceCounts* theirs = nullptr;
    if (fixed != nullptr)
      if (const auto it = fixed->by_operation.find(name); it != fixed->by_operation.end())
        theirs = &it->second;
    print_counts(name, c, theirs);
  }
  for (std::size_t k = 0; k < ours.by_phase.size(); ++k)
    print_counts("phase " + ours.by_phase[k].first, ours.by_phase[k].second,
                 fixed != nullptr && k < fixed->by_phase.size() ? &fixed->by_phase[k].second : nullptr);
  std::printf("\nRules, worst met against the limit\n");
  print_rules(ours);
  if (fixed != nullptr) {
    std::printf("\nThe same under fixed weights\n");
    print_rules(*fixed);
  }
}

// Long days are for the virtual clock.
const Span kLongest = Span::seconds(600);

int play(const Day& day, const DayOptions& options, const std::string& folder) {
  if (day.length > kLongest)
    throw std::runtime_error{
        fmt::format("{}: a day on loopback lasts {} at most; `gorsemount replay` plays longer ones",
                    options.day, config::span_text(kLongest))};
  std::vector<lab::Override> changes;
  for (const auto& change : options.changes) changes.push_back(lab::read_override(change));
  for (std::size_t k = 1; k <= day.coordinators.size(); ++k)
    static_cast<void>(lab::settings_for(day, k, "", changes));  // faults now
  net::Loop loop;
  const Instant begin = net::monotonic_now() + kPrelude;
  std::vector<std::unique_ptr<Fleet>> fleets;
  fleets.push_back(std::make_unique<Fleet>(day, options.day, folder + "/module",
                                           standins::AddressPlan{options.octet}, changes,
                                           day.unsafe.fixed_weights, !options.quiet));
  if (options.baseline)
    fleets.push_back(std::make_unique<Fleet>(day, options.day, folder + "/fixed",
                                             standins::AddressPlan{options.octet + kFleetOctets}, changes,
                                             true, false));
  for (auto& fleet : fleets) fleet->start(loop, begin);
  bool interrupted = false;
  for (const int signal : {SIGINT, SIGTERM}) loop.on_signal(signal, [&] { interrupted = true, loop.stop(); });
  const std::function<void()> strikes = [&] {
    for (auto& fleet : fleets) fleet->strike(loop);
    loop.after(kStrike, strikes);
  };
  if (day.cuts.count > 0) loop.after(kStrike, strikes);
  const std::function<void()> poll = [&] {
    bool over = true;
    for (auto& fleet : fleets) over = fleet->over() && over;
    if (over) return loop.stop();
    loop.after(kPoll, poll);
  };
  loop.after(kPoll, poll);
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
  const Audit ours = fleets.front()->judge();
  std::optional<Audit> fixed;
  if (options.baseline) fixed = fleets.back()->judge();
  print_table(ours, fixed ? &*fixed : nullptr);
  return ours.kept() ? kExitSuccess : kExitRuleViolated;
}

}  // namespace

int day(const DayOptions& options) {
  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(options.day, faults);
  config::Findings findings;
  const Day script = faults.empty() ? standins::read_day(text, options.day, findings) : Day{};
  faults.insert(faults.end(), findings.faults.begin(), findings.faults.end());
  if (!faults.empty()) {
    for (const auto& f : faults) std::fprintf(stderr, "%s\n", f.text().c_str());
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
    const int code = play(script, options, folder);
    if (options.folder.empty() && code == kExitSuccess) {
      fs::remove_all(folder);
    } else {
      std::printf("\nRecords, settings and logs: %s\n", folder.c_str());
    }
    return code;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "gorsemount: %s\n", fault.what());
    return kExitFailure;
  }
}

}  // namespace gorsemount::app
