package crashcause

import (
	"endivepost/internal/data/table"
	"endivepost/internal/wire/message"
)

// survivor is an upstream that survived a request with the attribute.
type survivor struct {
	attribute uint64
	upstream  string
}

// survivalReports collects what peers are to be told of survivors, one report for each.
type survivalReports struct {
	rows *table.Table[survivor, message.Survival]
}

func newSurvivalReports() survivalReports {
	return survivalReports{rows: table.New[survivor, message.Survival]()}
}

// add adds attempts that were interrupted before the survivor's request was sent.
func (survivalReports survivalReports) add(survivor survivor, attempts ...message.RequestID) {
	report, _ := survivalReports.rows.Get(survivor)
	report.Attribute, report.Upstream = survivor.attribute, survivor.upstream
	report.Attempts = append(report.Attempts, attempts...)
	survivalReports.rows.Put(survivor, report)
}

// take returns the reports and deletes them.
func (survivalReports survivalReports) take() []message.Survival {
	var taken []message.Survival
	for _, survivor := range survivalReports.rows.Keys() {
		report, _ := survivalReports.rows.Get(survivor)
		taken = append(taken, report)
		survivalReports.rows.Delete(survivor)
	}
	return taken
}
