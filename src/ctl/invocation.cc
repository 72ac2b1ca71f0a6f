#include "ctl/invocation.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <sstream>

#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

constexpr double kLongestTimeout = 3600;
constexpr const char* kTable = "table";
constexpr const char* kJson = "json";

constexpr const char* kOverview = R"(Operates a deployment of foxtailspread.

Exit statuses: 0 done; 1 it differs, or is not yet in force everywhere;
2 wrong arguments or bad input; 3 another writer was first, nothing changed;
4 the platform or host did not answer; 5 refused.

Examples:
  foxtailctl check examples/vlahovic
  foxtailctl --platform 127.0.0.1:7100 diff examples/vlahovic
  foxtailctl --platform 127.0.0.1:7100 preset switch peak --why "storm in town"
)";

/// Builds the commands; each writes its arguments into one invocation.
class command_builder {
 public:
  explicit command_builder(invocation& out)
      : out_(out), app_("", "foxtailctl") {
    app_.footer(kOverview);
    app_.require_subcommand(1);
    app_.fallthrough();
    AddGlobalOptions();
    AddDeclarationCommands();
    AddPresetCommands();
    AddOrganisationCommands();
    AddRuleCommands();
    AddDrainCommands("drain", command_kind::kDrainTarget,
                     command_kind::kDrainHost);
    AddDrainCommands("undrain", command_kind::kUndrainTarget,
                     command_kind::kUndrainHost);
    AddRangeCommands();
    AddHostCommands();
  }

  CLI::App& app() { return app_; }

 private:
  CLI::App* Command(CLI::App& parent, const std::string& name,
                    command_kind kind, const std::string& description,
                    const std::string& example) {
    CLI::App* command = parent.add_subcommand(name, description);
    command->footer("Example:\n  foxtailctl " + example + "\n");
    command->callback([this, kind] { out_.command = kind; });
    return command;
  }

  CLI::App* Group(const std::string& name, const std::string& description,
                  const std::string& example) {
    CLI::App* group = app_.add_subcommand(name, description);
    group->require_subcommand(1);
    group->footer("Example:\n  foxtailctl " + example + "\n");
    return group;
  }

  void AddGlobalOptions() {
    app_.add_option("--platform", out_.platform,
                    "The platform's object API, IP:port")
        ->envname("FOXTAIL_PLATFORM");
    app_.add_option("--host", out_.host, "An entry host, IP:port")
        ->envname("FOXTAIL_HOST");
    app_.add_option("--operator-token", out_.operator_token,
                    "Credential for entry hosts; others on this machine can "
                    "see it among the arguments")
        ->envname("FOXTAIL_OPERATOR_TOKEN");
    app_.add_option("--operator-token-file", out_.operator_token_file,
                    "File with the credential");
    app_.add_option("--as", out_.as, "Who acts, recorded with the change")
        ->envname("USER");
    app_.add_option("--revision", out_.revision,
                    "Change nothing unless this revision of the configuration "
                    "is in force");
    app_.add_option_function<std::string>(
            "--output",
            [this](const std::string& name) {
              out_.output =
                  name == kJson ? output_format::kJson : output_format::kTable;
            },
            "table or json")
        ->check(CLI::IsMember({kTable, kJson}));
    app_.add_option("--timeout", out_.timeout_s,
                    "Seconds for the whole command, retries included")
        ->check(CLI::Range(0.1, kLongestTimeout));
  }

  void AddDirectory(CLI::App* command) {
    command->add_option("DIR", out_.directory, "Directory of declarations")
        ->required();
  }

  void AddDeclarationCommands() {
    AddDirectory(Command(app_, "check", command_kind::kCheck,
                         "Check declarations without the platform",
                         "check examples/vlahovic"));
    AddDirectory(Command(app_, "diff", command_kind::kDiff,
                         "Show what apply would change (status 1 if anything)",
                         "diff examples/vlahovic"));
    CLI::App* apply =
        Command(app_, "apply", command_kind::kApply,
                "Put declarations in force; the preset in force stays",
                "apply examples/vlahovic --wait");
    AddDirectory(apply);
    apply->add_flag("--wait", out_.wait,
                    "Wait until every entry host reports the change");
    Command(app_, "show", command_kind::kShow,
            "Show the configuration in force", "show --output json");
  }

  void AddPresetCommands() {
    CLI::App* group =
        Group("preset", "Show or switch the preset in force", "preset list");
    Command(*group, "list", command_kind::kPresetList, "List all presets",
            "preset list");
    Command(*group, "show", command_kind::kPresetShow,
            "Show the preset in force, by whom and why", "preset show");
    CLI::App* change = Command(*group, "switch", command_kind::kPresetSwitch,
                               "Put another preset in force everywhere",
                               "preset switch peak --why \"storm in town\"");
    change->add_option("NAME", out_.name, "The preset")->required();
    change->add_option("--why", out_.why, "The reason, recorded")->required();
  }

  void AddOrganisationCommands() {
    CLI::App* group = Group("organisation", "List and change organisations",
                            "organisation list");
    Command(*group, "list", command_kind::kOrganisationList,
            "List organisations", "organisation list");
    CLI::App* add = Command(
        *group, "add", command_kind::kOrganisationAdd, "Add an organisation",
        "organisation add notaries --service archive --token-digest "
        "$(printf %s \"$TOKEN\" | sha256sum | cut -d' ' -f1)");
    add->add_option("NAME", out_.organisation.name, "The organisation")
        ->required();
    add->add_option("--service", out_.organisation.services,
                    "A service it may call; repeat for more");
    add->add_option("--token-digest", out_.organisation.token_digests,
                    "SHA-256 of a token in hex; repeat for more");
    CLI::App* remove = Command(
        *group, "remove", command_kind::kOrganisationRemove,
        "Remove an organisation", "organisation remove notaries --with-rules");
    remove->add_option("NAME", out_.name, "The organisation")->required();
    remove->add_flag("--with-rules", out_.with_rules, "Remove its rules too");
  }

  void AddRuleCommands() {
    CLI::App* services = Group("service", "List services", "service list");
    Command(*services, "list", command_kind::kServiceList, "List services",
            "service list");
    CLI::App* group = Group("rule", "List and change rules", "rule list");
    Command(*group, "list", command_kind::kRuleList, "List rules", "rule list");
    CLI::App* set = Command(*group, "set", command_kind::kRuleSet,
                            "Change a rule, or add it",
                            "rule set insurers archive --share 2");
    set->add_option("ORGANISATION", out_.rule.organisation, "The organisation")
        ->required();
    set->add_option("SERVICE", out_.rule.service,
                    "The service, or '*' for all (the default)");
    set->add_option("--share", out_.rule.share,
                    "Guaranteed part, relative to other shares");
    set->add_option("--max-queued", out_.rule.max_queued,
                    "Requests that may wait");
    set->add_option("--most-urgent", out_.most_urgent,
                    "urgent, ordinary or archive");
  }

  void AddDrainCommands(const std::string& verb, command_kind target,
                        command_kind host) {
    CLI::App* group =
        Group(verb,
              verb == "drain" ? "Give no new work to a target or host"
                              : "End a drain",
              verb + " target archive-03");
    const std::string why = verb == "drain" ? " --why \"disk swap\"" : "";
    AddDrained(Command(*group, "target", target, "A target of a service",
                       verb + " target archive-03" + why));
    AddDrained(Command(*group, "host", host, "An entry host",
                       verb + " host entry-3" + why));
  }

  void AddDrained(CLI::App* command) {
    command->add_option("NAME", out_.name, "Its name")->required();
    command->add_option("--why", out_.why, "The reason, recorded");
  }

  void AddRangeCommands() {
    CLI::App* group =
        Group("range", "Act on ranges of buckets",
              "range reset inspection-history@trnje --host-is-dead entry-3");
    CLI::App* reset = Command(
        *group, "reset", command_kind::kRangeReset,
        "Give your word that a host is dead, so that a range whose stewards "
        "are lost can be taken over.\nDANGER: if that host still runs, keys "
        "get two owners and single-use actions can run twice.",
        "range reset inspection-history@trnje --host-is-dead entry-3 --yes");
    reset->add_option("RANGE", out_.name, "The range")->required();
    reset
        ->add_option("--host-is-dead", out_.dead_host,
                     "The host that is off and stays off")
        ->required();
    reset->add_flag("--yes", out_.yes, "You have made sure of it");
  }

  void AddHostCommands() {
    CLI::App* ownership =
        Command(app_, "ownership", command_kind::kOwnership,
                "Show which target owns what, as one entry host knows it",
                "--host 127.0.0.1:7001 ownership inspection-history");
    ownership->add_option("SERVICE", out_.name, "Only this service");
    Command(app_, "hosts", command_kind::kHosts,
            "Show the entry hosts, as one of them sees them",
            "--host 127.0.0.1:7001 hosts");
    Command(app_, "status", command_kind::kStatus,
            "Show the status of one entry host",
            "--host 127.0.0.1:7001 status");
    Command(app_, "burn", command_kind::kBurn,
            "Show how fast the error budgets are used up",
            "--host 127.0.0.1:7001 burn");
    Command(app_, "metrics", command_kind::kMetrics,
            "Show the measures of one entry host",
            "--host 127.0.0.1:7001 metrics");
  }

  invocation& out_;
  CLI::App app_;
};

/// Returns the innermost command that was recognised.
const CLI::App& Innermost(const CLI::App& app) {
  const CLI::App* innermost = &app;
  while (!innermost->get_subcommands().empty()) {
    innermost = innermost->get_subcommands().front();
  }
  return *innermost;
}

std::vector<std::string> FlagNames(const CLI::App& app) {
  std::vector<std::string> names;
  const CLI::App* level = &app;
  while (level != nullptr) {
    for (const CLI::Option* option : level->get_options()) {
      for (const std::string& name : option->get_lnames()) {
        names.push_back("--" + name);
      }
    }
    level = level->get_parent();
  }
  return names;
}

std::vector<std::string> CommandNames(const CLI::App& app) {
  std::vector<std::string> names;
  for (const CLI::App* command : app.get_subcommands({})) {
    names.push_back(command->get_name());
  }
  return names;
}

/// Returns the command as one would type it, "foxtailctl preset switch".
std::string FullName(const CLI::App& app) {
  const CLI::App* parent = app.get_parent();
  return parent == nullptr ? app.get_name()
                           : FullName(*parent) + " " + app.get_name();
}

/// The parser says of a mistyped command only that one is required.
std::string Explained(const CLI::App& app, const CLI::ParseError& failure) {
  const CLI::App& innermost = Innermost(app);
  const std::string help = "see " + FullName(innermost) + " --help";
  const std::vector<std::string> left = app.remaining(true);
  if (left.empty()) {
    return std::string(failure.what()) + "; " + help;
  }
  const std::string word = left.front().substr(0, left.front().find('='));
  const bool is_flag = word.starts_with('-');
  const std::vector<std::string> known =
      is_flag ? FlagNames(innermost) : CommandNames(innermost);
  const std::string what = is_flag ? "flag " : "command or argument ";
  const std::string remedy =
      known.empty() ? "" : KnownNameRemedy(word, known) + " ";
  return "unknown " + what + Quoted(word) + "; " + remedy + help;
}

}  // namespace

std::variant<invocation, early_end> ParseArguments(
    const std::vector<std::string>& arguments) {
  invocation parsed;
  command_builder builder(parsed);
  CLI::App& app = builder.app();
  // The parser takes its words from the back.
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  try {
    app.parse(reversed);
  } catch (const CLI::Success& asked) {
    std::ostringstream help;
    app.exit(asked, help, help);
    return early_end{exit_status::kOk, help.str()};
  } catch (const CLI::ParseError& failure) {
    return early_end{exit_status::kUsage,
                     "foxtailctl: " + Explained(app, failure) + "\n"};
  }
  return parsed;
}

}  // namespace foxtailspread
