// Command examples writes an example configuration and settings file for each of the
// two full-size deployments to the directory examples.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"acaciavane/standin/lab"
)

const filePermissions = 0o644

func main() {
	for _, deployment := range []lab.Deployment{lab.HuronBay(), lab.Bokveld()} {
		if err := write(deployment); err != nil {
			fmt.Fprintln(os.Stderr, "examples:", err)
			os.Exit(1)
		}
	}
}

func write(deployment lab.Deployment) error {
	directory := filepath.Join("examples", deployment.Name)
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	configuration := deployment.Configuration("127.0.0.1", 1, 1)
	if err := os.WriteFile(filepath.Join(directory, "configuration.json"), configuration.JSON(), filePermissions); err != nil {
		return err
	}
	zone := deployment.Zones[0]
	settings := lab.SettingsFile{
		Instance:        zone + "-1",
		Zone:            zone,
		CallerAddress:   "127.0.0.1:7000",
		PeerAddress:     "127.0.0.1:7100",
		OperatorAddress: "127.0.0.1:7200",
		PlatformAddress: "127.0.0.1:7900",
		Peers:           []string{"127.0.0.1:7101", "127.0.0.1:7102"},
		DrainMillis:     3000,
		LogLevel:        "info",
	}
	raw, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, zone+"-1.json"), append(raw, '\n'), filePermissions)
}
