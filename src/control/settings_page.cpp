#include <topaztack/control/settings_page.hpp>

#include <topaztack/control/document.hpp>
#include <topaztack/control/settings.hpp>

namespace topaztack {

namespace {

    constexpr std::string_view introduction = "# Settings\n\n"
                                              "Generated from the rules by which the code parses the files "
                                              "(`topaztack settings-page`); a unit test compares the two.\n"
                                              "Unknown sections and keys are errors.\n";

    template <typename Target>
    void printSection(
        std::string_view header, std::string_view about, const std::vector<KeyRule<Target>>& rules, std::string& page)
    {
        page += "\n### `" + std::string(header) + "`\n\n" + std::string(about) + "\n\n";
        page += "| key | default | meaning |\n|---|---|---|\n";
        for (const auto& rule : rules)
            page += "| `" + std::string(rule.key) + "` | " + std::string(rule.fallback) + " | "
                + std::string(rule.meaning) + " |\n";
    }

} // namespace

std::string settingsPage()
{
    std::string page(introduction);
    page += "\n## A VM's settings file\n";
    printSection("[vm NAME]", "This VM. Exactly one.", vmRules(), page);
    printSection("[platform]", "The platform's table service, object store and VM list.", platformRules(), page);
    printSection("[gateway]",
        "Makes this VM a gateway: its configuration, backend servers and jobs are kept in the platform's store.",
        gatewayRules(), page);
    printSection(
        "[duties]", "Calls to the platform's API that one VM at a time makes. Only in gateways.", dutyRules(), page);
    printSection("[tls]",
        "Certificate and key of this VM for its connections to other VMs; reloaded when the files change. Callers' and "
        "operators' ports use plain HTTP.",
        tlsRules(), page);
    printSection("[peer NAME]", "Another VM, used as a membership seed.", peerRules(), page);
    page += "\n## The accepted document\n";
    printSection("[pool NAME]", "Backend servers that serve the same requests.", poolRules(), page);
    printSection("[backend NAME]", "A backend server.", backendRules(), page);
    printSection("[trainer NAME]", "A trainer that receives samples.", trainerRules(), page);
    printSection("[workspace NAME]",
        "Callers that share keys and a rank. If the document has any, every caller's request carries `Authorization: "
        "Bearer KEY`, and backend servers get the name in `Topaztack-Workspace` in place of the key.",
        workspaceRules(), page);
    printSection("[limits]", "Limits that apply to every VM.", limitsRules(), page);
    return page;
}

} // namespace topaztack
